package command

import (
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"cactusspar/internal/operator"
	"cactusspar/internal/settings"
)

// clientSettings is the settings file of the command line.
type clientSettings struct {
	// Control holds the administration addresses of the control replicas.
	Control []string `json:"control"`
	// TokenFile holds the operator's token.
	TokenFile settings.File `json:"token_file"`
	// TLS holds the certificates; absent means plain text.
	TLS *settings.ClientTLS `json:"tls"`
	// Timeout bounds a call with all its retries.
	Timeout settings.Duration `json:"timeout"`
}

// Check reports invalid addresses and times.
func (s *clientSettings) Check(c *settings.Checks) {
	for i, a := range s.Control {
		if _, err := settings.ParseAddress(a); err != nil {
			c.Add("control."+itoa(i), "%v", err)
		}
	}
	if s.Timeout < 0 {
		c.Add("timeout", "expected a duration above 0")
	}
}

const (
	flagSettings   = "settings"
	flagControl    = "control"
	flagTokenFile  = "token-file"
	flagCA         = "ca"
	flagCert       = "cert"
	flagKey        = "key"
	flagServerName = "server-name"
	flagTimeout    = "timeout"
)

func connectionFlags() []cli.Flag {
	text := func(name, usage, variable string) cli.Flag {
		return &cli.StringFlag{Name: name, Usage: usage, Sources: cli.EnvVars(variable), Category: "Connection:"}
	}
	return []cli.Flag{
		text(flagSettings, "settings `FILE` of the command line", "CACTUSSPAR_SETTINGS"),
		&cli.StringSliceFlag{
			Name: flagControl, Usage: "administration `ADDRESS` of a control replica, comma-separated or repeated",
			Sources: cli.EnvVars("CACTUSSPAR_CONTROL"), Category: "Connection:",
		},
		text(flagTokenFile, "`FILE` with the operator's token", "CACTUSSPAR_TOKEN_FILE"),
		text(flagCA, "`FILE` with the certificate authority of the control replicas; turns TLS on", "CACTUSSPAR_CA"),
		text(flagCert, "`FILE` with the operator's certificate", "CACTUSSPAR_CERT"),
		text(flagKey, "`FILE` with the key of the operator's certificate", "CACTUSSPAR_KEY"),
		text(flagServerName, "`NAME` to expect in the certificates of the control replicas", "CACTUSSPAR_SERVER_NAME"),
		&cli.DurationFlag{
			Name: flagTimeout, Usage: "time for a call with all its retries", Value: operator.DefaultTimeout,
			Sources: cli.EnvVars("CACTUSSPAR_TIMEOUT"), Category: "Connection:",
		},
	}
}

// begin returns a client and the positional arguments, which have to match the
// names.
func begin(c *cli.Command, names ...string) (*operator.Client, []string, error) {
	args, err := arguments(c, names...)
	if err != nil {
		return nil, nil, err
	}
	client, err := connect(c)
	return client, args, err
}

// connect returns a client by the connection settings.
func connect(c *cli.Command) (*operator.Client, error) {
	s, err := connectionSettings(c)
	if err != nil {
		return nil, err
	}
	if len(s.Control) == 0 {
		return nil, usage("no control address: use --%s, CACTUSSPAR_CONTROL or \"control\" in the settings file", flagControl)
	}
	options := operator.ClientOptions{Addresses: s.Control, Timeout: time.Duration(s.Timeout)}
	if s.TokenFile != "" {
		if options.Token, err = s.TokenFile.Secret(); err != nil {
			return nil, err
		}
	}
	if options.TLS, err = s.TLS.Config(); err != nil {
		return nil, err
	}
	return operator.NewClient(options)
}

// connectionSettings merges the flags and the environment over the settings file.
func connectionSettings(c *cli.Command) (clientSettings, error) {
	s := clientSettings{Timeout: settings.Duration(operator.DefaultTimeout)}
	if file := c.String(flagSettings); file != "" {
		if err := settings.Load(file, &s); err != nil {
			return s, err
		}
	}
	if c.IsSet(flagControl) {
		s.Control = nil
		for _, a := range c.StringSlice(flagControl) {
			s.Control = append(s.Control, strings.TrimSpace(a))
		}
	}
	if c.IsSet(flagTimeout) {
		s.Timeout = settings.Duration(c.Duration(flagTimeout))
	}
	if s.Timeout <= 0 {
		return s, usage("--%s: expected a duration above 0", flagTimeout)
	}
	override(c, flagTokenFile, &s.TokenFile)
	mergeTLS(c, &s)
	if s.TLS != nil && len(s.TLS.CA) == 0 {
		return s, usage("--%s is needed with the other TLS flags", flagCA)
	}
	if s.TLS != nil && (s.TLS.Certificate == "") != (s.TLS.Key == "") {
		return s, usage("--%s and --%s go together", flagCert, flagKey)
	}
	return s, nil
}

func mergeTLS(c *cli.Command, s *clientSettings) {
	given := false
	for _, name := range []string{flagCA, flagCert, flagKey, flagServerName} {
		given = given || c.String(name) != ""
	}
	if !given {
		return
	}
	if s.TLS == nil {
		s.TLS = &settings.ClientTLS{}
	}
	if ca := c.String(flagCA); ca != "" {
		s.TLS.CA = []settings.File{settings.File(ca)}
	}
	override(c, flagCert, &s.TLS.Certificate)
	override(c, flagKey, &s.TLS.Key)
	if name := c.String(flagServerName); name != "" {
		s.TLS.ServerName = name
	}
}

func override(c *cli.Command, flag string, file *settings.File) {
	if value := c.String(flag); value != "" {
		*file = settings.File(value)
	}
}
