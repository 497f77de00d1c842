// Package key creates and verifies API keys.
//
// A key has the form lh_<id>_<secret>. Only the ID, a salt and the salted hash of
// the secret are stored; the complete key is returned once, on creation. The
// secret has 256 random bits, which cannot be guessed, so a single round of
// SHA-256 is sufficient and a slow password hash would add no security.
//
// # Usage
//
//	text, stored, err := key.New("kovacs-counter")
//	id, secret, ok := key.Parse(text)
//	if ok && id == stored.ID() && stored.Matches(secret) { ... }
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

// Key is the stored part of an API key, without its secret.
type Key struct {
	id        string
	workspace string
	salt      string
	hash      string
}

// New creates a key for a workspace. It returns the complete key, which cannot be
// recovered later, and the part to store.
func New(workspace string) (string, Key, error) {
	id, err := randomHex(idBytes)
	if err != nil {
		return "", Key{}, err
	}
	salt, err := randomHex(saltBytes)
	if err != nil {
		return "", Key{}, err
	}
	secret, err := randomHex(secretBytes)
	if err != nil {
		return "", Key{}, err
	}
	stored := Restore(id, workspace, salt, hashSecret(salt, secret))
	return strings.Join([]string{prefix, id, secret}, "_"), stored, nil
}

// Restore returns a key from its stored fields. Salt and hash are hexadecimal.
func Restore(id, workspace, salt, hash string) Key {
	return Key{id: id, workspace: workspace, salt: salt, hash: hash}
}

// ID returns the public ID of the key.
func (k Key) ID() string { return k.id }

// Workspace returns the workspace that the key belongs to.
func (k Key) Workspace() string { return k.workspace }

// Salt returns the salt in hexadecimal.
func (k Key) Salt() string { return k.salt }

// Hash returns the salted hash of the secret in hexadecimal.
func (k Key) Hash() string { return k.hash }

// Matches reports whether the secret is that of the key. It compares in constant
// time.
func (k Key) Matches(secret string) bool {
	return subtle.ConstantTimeCompare([]byte(hashSecret(k.salt, secret)), []byte(k.hash)) == 1
}

// Parse returns the ID and the secret of a complete key. It reports false if the
// text does not have the form of a key.
func Parse(text string) (id, secret string, ok bool) {
	parts := strings.Split(text, "_")
	if len(parts) != 3 || parts[0] != prefix {
		return "", "", false
	}
	return parts[1], parts[2], true
}

func hashSecret(salt, secret string) string {
	sum := sha256.Sum256([]byte(salt + secret))
	return hex.EncodeToString(sum[:])
}

func randomHex(length int) (string, error) {
	data := make([]byte, length)
	if _, err := rand.Read(data); err != nil {
		return "", oops.In("key").Wrapf(err, "read random bytes")
	}
	return hex.EncodeToString(data), nil
}

// FromHeader returns the key in the value of an Authorization header with the
// given scheme. The scheme is compared case-insensitively (RFC 9110, 11.1).
func FromHeader(value, scheme string) (text string, found bool) {
	name, credentials, ok := strings.Cut(value, " ")
	if !ok || !strings.EqualFold(name, scheme) {
		return "", false
	}
	return strings.TrimSpace(credentials), true
}
