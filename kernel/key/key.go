// Package key creates and checks the keys that callers show.
//
// A key has the form lh_<id>_<secret>. Only its id, a salt and the salted hash
// of the secret are kept; the whole key is shown once, when it is created. The
// secret has 256 random bits, so one round of SHA-256 is enough: there is
// nothing to guess that a slower hash would protect.
//
// # Usage
//
//	text, kept, err := key.New("kovacs-counter")
//	id, secret, ok := key.Split(text)
//	if ok && kept.Matches(secret) { ... }
package key

import (
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"strings"

	"github.com/samber/oops"
)

const (
	prefix      = "lh"
	idBytes     = 8
	saltBytes   = 16
	secretBytes = 32
)

// Key is what is kept of a caller's key.
type Key struct {
	id        string
	workspace string
	salt      string
	hash      string
}

// New creates a key for a workspace. It returns the text to show once and the
// part to keep.
func New(workspace string) (string, Key, error) {
	id, err := random(idBytes)
	if err != nil {
		return "", Key{}, err
	}
	salt, err := random(saltBytes)
	if err != nil {
		return "", Key{}, err
	}
	secret, err := random(secretBytes)
	if err != nil {
		return "", Key{}, err
	}
	kept := Restore(id, workspace, salt, hashOf(salt, secret))
	return strings.Join([]string{prefix, id, secret}, "_"), kept, nil
}

// Restore returns a key from its kept parts; salt and hash are hexadecimal.
func Restore(id, workspace, salt, hash string) Key {
	return Key{id: id, workspace: workspace, salt: salt, hash: hash}
}

// ID returns the public identifier.
func (k Key) ID() string { return k.id }

// Workspace returns the workspace that the key belongs to.
func (k Key) Workspace() string { return k.workspace }

// Salt returns the salt, hexadecimal.
func (k Key) Salt() string { return k.salt }

// Hash returns the salted hash of the secret, hexadecimal.
func (k Key) Hash() string { return k.hash }

// Matches reports whether the secret is the one the key was created with.
func (k Key) Matches(secret string) bool {
	return subtle.ConstantTimeCompare([]byte(hashOf(k.salt, secret)), []byte(k.hash)) == 1
}

// Split returns the identifier and the secret in a key's text.
func Split(text string) (id, secret string, ok bool) {
	parts := strings.Split(text, "_")
	if len(parts) != 3 || parts[0] != prefix {
		return "", "", false
	}
	return parts[1], parts[2], true
}

func hashOf(salt, secret string) string {
	sum := sha256.Sum256([]byte(salt + secret))
	return hex.EncodeToString(sum[:])
}

func random(length int) (string, error) {
	raw := make([]byte, length)
	if _, err := rand.Read(raw); err != nil {
		return "", oops.In("key").Wrapf(err, "read random bytes")
	}
	return hex.EncodeToString(raw), nil
}

// FromHeader returns the key of an Authorization header with the given scheme,
// whose name is matched without regard to case (RFC 9110, 11.1).
func FromHeader(value, scheme string) (text string, found bool) {
	name, rest, spaced := strings.Cut(value, " ")
	if !spaced || !strings.EqualFold(name, scheme) {
		return "", false
	}
	return strings.TrimSpace(rest), true
}
