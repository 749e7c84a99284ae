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

// OperatorUnit is the organisational unit that a client certificate must name to
// identify an operator, so that the certificate of another process that the
// same authority has signed does not.
const OperatorUnit = peer.OperatorUnit

const (
	secretBytes      = 32
	maxOperators     = 1_000
	maxTokensBytes   = 256 << 10
	maxOperatorBytes = 64
)

// NewSecret returns a random secret for a key or a token, in a form that fits
// into a header.
func NewSecret() string {
	b := make([]byte, secretBytes)
	_, _ = rand.Read(b) // never fails; see crypto/rand
	return base64.RawURLEncoding.EncodeToString(b)
}

// HashSecret returns the hash that is kept of a secret: the SHA-256 of its bytes
// as they are sent after "Bearer ". Secrets are random, so that a slow hash
// would add nothing.
func HashSecret(secret string) [sha256.Size]byte {
	return sha256.Sum256([]byte(secret))
}

// Tokens are the operators' tokens, as hashes. It is not changed after loading.
type Tokens struct {
	names  []string
	hashes [][sha256.Size]byte
}

// TokenLine returns the line of a tokens file for an operator.
func TokenLine(name, token string) string {
	h := HashSecret(token)
	return name + " " + hex.EncodeToString(h[:])
}

// LoadTokens reads a tokens file: one "NAME SHA256" per line, with comments
// after #. The error is a findings.List, unless the file cannot be read.
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

// ParseTokens is LoadTokens for a text that was read from file.
func ParseTokens(file, text string) (*Tokens, error) {
	t := &Tokens{}
	var list findings.List
	number := 0
	for line := range strings.SplitSeq(text, "\n") {
		number++
		line, _, _ = strings.Cut(line, "#")
		words := strings.Fields(line)
		if len(words) == 0 {
			continue
		}
		if problem := t.add(words); problem != "" {
			list.Add(file, number, 1+len(line)-len(strings.TrimLeft(line, " \t")), "%s", problem)
		}
		if len(list) > maxOperators {
			break
		}
	}
	return t, list.Err()
}

// add adds the operator of a line. It returns what is wrong with it, if anything.
func (t *Tokens) add(words []string) string {
	if len(words) != 2 {
		return "expected an operator's name and the SHA-256 of the token in hexadecimal"
	}
	hash, err := hex.DecodeString(words[1])
	if err != nil || len(hash) != sha256.Size {
		return fmt.Sprintf("the hash of %s is not a SHA-256 in hexadecimal (%d digits)", words[0], 2*sha256.Size)
	}
	if !validOperator(words[0]) {
		return fmt.Sprintf("%q is not an operator's name: expected at most %d letters, digits and ._-@: characters", words[0], maxOperatorBytes)
	}
	if len(t.names) >= maxOperators {
		return fmt.Sprintf("at most %d operators", maxOperators)
	}
	t.names = append(t.names, words[0])
	t.hashes = append(t.hashes, [sha256.Size]byte(hash))
	return ""
}

// lookup returns the operator with that token. Every hash is compared in
// constant time, so that the time taken tells nothing about any of them.
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

// authenticate returns the operator's name by token or by certificate.
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

// validOperator tells whether s is a name of an operator. It becomes part of the
// session's identity.
func validOperator(s string) bool { return validWord(s, maxOperatorBytes) }

func validWord(s string, most int) bool {
	if s == "" || len(s) > most {
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
