package command

import (
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"cactusspar/internal/operator"
	"cactusspar/internal/settings"
)

// clientSettings is the content of the command line's settings file.
type clientSettings struct {
	// Control holds the administration addresses of the control replicas.
	Control []string `json:"control"`
	// TokenFile holds the operator's token.
	TokenFile settings.File `json:"token_file"`
	// TLS holds the certificates. Without it, connections are not encrypted.
	TLS *settings.ClientTLS `json:"tls"`
	// Timeout limits a call including all its retries.
	Timeout settings.Duration `json:"timeout"`
}

// Check reports invalid addresses and timeouts.
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
	stringFlag := func(name, usage, variable string) cli.Flag {
		return &cli.StringFlag{Name: name, Usage: usage, Sources: cli.EnvVars(variable), Category: "Connection:"}
	}
	return []cli.Flag{
		stringFlag(flagSettings, "settings `FILE` of the command line", "CACTUSSPAR_SETTINGS"),
		&cli.StringSliceFlag{
			Name: flagControl, Usage: "administration `ADDRESS` of a control replica, comma-separated or repeated",
			Sources: cli.EnvVars("CACTUSSPAR_CONTROL"), Category: "Connection:",
		},
		stringFlag(flagTokenFile, "`FILE` with the operator's token", "CACTUSSPAR_TOKEN_FILE"),
		stringFlag(flagCA, "`FILE` with the certificate authority of the control replicas; turns TLS on", "CACTUSSPAR_CA"),
		stringFlag(flagCert, "`FILE` with the operator's certificate", "CACTUSSPAR_CERT"),
		stringFlag(flagKey, "`FILE` with the key of the operator's certificate", "CACTUSSPAR_KEY"),
		stringFlag(flagServerName, "`NAME` to expect in the certificates of the control replicas", "CACTUSSPAR_SERVER_NAME"),
		&cli.DurationFlag{
			Name: flagTimeout, Usage: "time for a call with all its retries", Value: operator.DefaultTimeout,
			Sources: cli.EnvVars("CACTUSSPAR_TIMEOUT"), Category: "Connection:",
		},
	}
}

// connectWithArguments returns a client and the positional arguments, which must
// match the names.
func connectWithArguments(c *cli.Command, names ...string) (*operator.Client, []string, error) {
	args, err := arguments(c, names...)
	if err != nil {
		return nil, nil, err
	}
	client, err := connect(c)
	return client, args, err
}

// connect returns a client that uses the connection settings.
func connect(c *cli.Command) (*operator.Client, error) {
	s, err := connectionSettings(c)
	if err != nil {
		return nil, err
	}
	if len(s.Control) == 0 {
		return nil, newUsageError("no control address: use --%s, CACTUSSPAR_CONTROL or \"control\" in the settings file", flagControl)
	}
	options := operator.ClientOptions{Addresses: s.Control, Timeout: time.Duration(s.Timeout)}
	if s.TokenFile != "" {
		if options.Token, err = s.TokenFile.ReadSecret(); err != nil {
			return nil, err
		}
	}
	if options.TLS, err = s.TLS.Config(); err != nil {
		return nil, err
	}
	return operator.NewClient(options)
}

// connectionSettings reads the settings file and overrides it with the environment
// and the flags.
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
		return s, newUsageError("--%s: expected a duration above 0", flagTimeout)
	}
	overrideFile(c, flagTokenFile, &s.TokenFile)
	mergeTLS(c, &s)
	if s.TLS != nil && len(s.TLS.CA) == 0 {
		return s, newUsageError("--%s is needed with the other TLS flags", flagCA)
	}
	if s.TLS != nil && (s.TLS.Certificate == "") != (s.TLS.Key == "") {
		return s, newUsageError("--%s and --%s go together", flagCert, flagKey)
	}
	return s, nil
}

func mergeTLS(c *cli.Command, s *clientSettings) {
	anyFlag := false
	for _, name := range []string{flagCA, flagCert, flagKey, flagServerName} {
		anyFlag = anyFlag || c.String(name) != ""
	}
	if !anyFlag {
		return
	}
	if s.TLS == nil {
		s.TLS = &settings.ClientTLS{}
	}
	if ca := c.String(flagCA); ca != "" {
		s.TLS.CA = []settings.File{settings.File(ca)}
	}
	overrideFile(c, flagCert, &s.TLS.Certificate)
	overrideFile(c, flagKey, &s.TLS.Key)
	if name := c.String(flagServerName); name != "" {
		s.TLS.ServerName = name
	}
}

func overrideFile(c *cli.Command, flag string, file *settings.File) {
	if value := c.String(flag); value != "" {
		*file = settings.File(value)
	}
}
