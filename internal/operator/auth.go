package operator

import (
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/base64"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"

	"github.com/zeebo/errs"

	"cactusspar/internal/findings"
	"cactusspar/internal/peer"
)

// OperatorUnit is the organisational unit that a client certificate must contain
// to identify an operator. Certificates that the same authority has issued to
// other processes don't contain it.
const OperatorUnit = peer.OperatorUnit

const (
	secretBytes      = 32
	maxOperators     = 1_000
	maxTokensBytes   = 256 << 10
	maxOperatorBytes = 64
)

// NewSecret returns a random secret for a key or a token. It contains only
// characters that are valid in an HTTP header.
func NewSecret() string {
	b := make([]byte, secretBytes)
	_, _ = rand.Read(b) // never fails; see crypto/rand
	return base64.RawURLEncoding.EncodeToString(b)
}

// HashSecret returns the stored hash of a secret: the SHA-256 of its bytes as sent
// after "Bearer ". A slow password hash is not needed because secrets are random.
func HashSecret(secret string) [sha256.Size]byte {
	return sha256.Sum256([]byte(secret))
}

// Tokens holds the hashes of the operators' tokens. It is immutable after loading.
type Tokens struct {
	names  []string
	hashes [][sha256.Size]byte
}

// TokenLine returns an operator's line for a tokens file.
func TokenLine(name, token string) string {
	h := HashSecret(token)
	return name + " " + hex.EncodeToString(h[:])
}

// LoadTokens reads a tokens file: one "NAME SHA256" per line, with comments after
// #. Invalid lines are returned as a findings.List.
func LoadTokens(path string) (*Tokens, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }()
	text, err := io.ReadAll(io.LimitReader(f, maxTokensBytes+1))
	if err != nil {
		return nil, err
	}
	if len(text) > maxTokensBytes {
		return nil, errs.New("%s has more than %d bytes", path, maxTokensBytes)
	}
	return ParseTokens(path, string(text))
}

// ParseTokens parses the text of a tokens file. The name of the file is used in
// findings.
func ParseTokens(file, text string) (*Tokens, error) {
	t := &Tokens{}
	var list findings.List
	lineNumber := 0
	for line := range strings.SplitSeq(text, "\n") {
		lineNumber++
		line, _, _ = strings.Cut(line, "#")
		fields := strings.Fields(line)
		if len(fields) == 0 {
			continue
		}
		if problem := t.add(fields); problem != "" {
			list.Add(file, lineNumber, 1+len(line)-len(strings.TrimLeft(line, " \t")), "%s", problem)
		}
		if len(list) > maxOperators {
			break
		}
	}
	return t, list.Err()
}

// add adds the operator of a line. It returns a description of the problem if the
// line is invalid.
func (t *Tokens) add(fields []string) string {
	if len(fields) != 2 {
		return "expected an operator's name and the SHA-256 of the token in hexadecimal"
	}
	hash, err := hex.DecodeString(fields[1])
	if err != nil || len(hash) != sha256.Size {
		return fmt.Sprintf("the hash of %s is not a SHA-256 in hexadecimal (%d digits)", fields[0], 2*sha256.Size)
	}
	if !validOperator(fields[0]) {
		return fmt.Sprintf("%q is not an operator's name: expected at most %d letters, digits and ._-@: characters", fields[0], maxOperatorBytes)
	}
	if len(t.names) >= maxOperators {
		return fmt.Sprintf("at most %d operators", maxOperators)
	}
	t.names = append(t.names, fields[0])
	t.hashes = append(t.hashes, [sha256.Size]byte(hash))
	return ""
}

// lookup returns the name of the operator with the given token. It compares all
// hashes in constant time, so that the response time reveals nothing about them.
func (t *Tokens) lookup(token string) (string, bool) {
	hash := HashSecret(token)
	name, found := "", false
	for i := range t.hashes {
		if subtle.ConstantTimeCompare(hash[:], t.hashes[i][:]) == 1 {
			name, found = t.names[i], true
		}
	}
	return name, found
}

// authenticate identifies the operator by bearer token or client certificate.
func (s *server) authenticate(r *http.Request) (string, bool) {
	if token, found := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer "); found {
		if s.options.Tokens == nil {
			return "", false
		}
		return s.options.Tokens.lookup(token)
	}
	if !s.options.Certificates || r.TLS == nil || len(r.TLS.VerifiedChains) == 0 {
		return "", false
	}
	subject := r.TLS.VerifiedChains[0][0].Subject
	for _, unit := range subject.OrganizationalUnit {
		if unit == OperatorUnit && validOperator(subject.CommonName) {
			return subject.CommonName, true
		}
	}
	return "", false
}

// validOperator reports whether s is a valid operator name. The name becomes part
// of the session's client ID.
func validOperator(s string) bool { return validIdentifier(s, maxOperatorBytes) }

func validIdentifier(s string, maxLength int) bool {
	if s == "" || len(s) > maxLength {
		return false
	}
	for _, r := range s {
		switch {
		case r >= 'a' && r <= 'z', r >= 'A' && r <= 'Z', r >= '0' && r <= '9':
		case strings.ContainsRune("._-@:", r):
		default:
			return false
		}
	}
	return true
}
