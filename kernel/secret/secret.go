// Package secret signs tickets and authenticates requests between the system's
// own processes with shared secrets.
//
// A Keyring holds one or more secrets. The first one signs, and signatures by any of
// them are accepted. A secret is rotated by adding the new one in every process,
// then moving it to the front, and finally removing the old one. Replace changes
// the secrets of a keyring in use.
//
// # Usage
//
//	keyring, err := secret.New([]string{"…at least 32 characters…"})
//	signed := keyring.Sign(payload)
//	payload, ok := keyring.Verify(signed)
//	request.Header.Set("Authorization", keyring.Authorization(method, path, now))
package secret

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

const (
	// MinLength is the minimum length of a secret in bytes.
	MinLength = 32
	macBytes  = 16
	scheme    = "Limpethall "
	// maxClockSkew is the maximum difference between the clocks of two processes.
	maxClockSkew = 2 * time.Minute
)

// ShortError reports a secret that is too short to be secure.
type ShortError struct{ index int }

// Error returns a message that identifies the secret by its position and does not
// contain the secret itself.
func (e *ShortError) Error() string {
	return fmt.Sprintf("secret %d is shorter than %d characters", e.index+1, MinLength)
}

// Keyring is a list of shared secrets.
type Keyring struct {
	secrets atomic.Pointer[[][]byte]
}

// New returns a keyring with the given secrets. It fails with a *ShortError if the
// list is empty or a secret is too short.
func New(secrets []string) (*Keyring, error) {
	keyring := &Keyring{}
	return keyring, keyring.Replace(secrets)
}

// ReadFile returns the secrets in a file, which are separated by white space.
func ReadFile(path string) ([]string, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return strings.Fields(string(content)), nil
}

// Reload replaces the secrets by those in a file. The current ones remain in use
// if the file cannot be read, is empty or contains a secret that is too short.
func (k *Keyring) Reload(path string) error {
	secrets, err := ReadFile(path)
	if err != nil {
		return err
	}
	return k.Replace(secrets)
}

// Replace replaces the secrets. The current ones remain in use if the list is
// empty or a secret is too short, which gives a *ShortError.
func (k *Keyring) Replace(secrets []string) error {
	if len(secrets) == 0 {
		return &ShortError{}
	}
	parsed := make([][]byte, 0, len(secrets))
	for index, secret := range secrets {
		if len(secret) < MinLength {
			return &ShortError{index: index}
		}
		parsed = append(parsed, []byte(secret))
	}
	k.secrets.Store(&parsed)
	return nil
}

// Sign returns the payload with a message authentication code, encoded in
// URL-safe base64.
func (k *Keyring) Sign(payload []byte) string {
	signed := append(k.computeMAC(0, payload), payload...)
	return base64.RawURLEncoding.EncodeToString(signed)
}

// Verify decodes a signed payload and reports whether it was signed with one of the
// keyring's secrets. The payload must not be used if it was not.
func (k *Keyring) Verify(signed string) ([]byte, bool) {
	decoded, err := base64.RawURLEncoding.DecodeString(signed)
	if err != nil || len(decoded) < macBytes {
		return nil, false
	}
	return decoded[macBytes:], k.verify(decoded[:macBytes], decoded[macBytes:])
}

// Authorization returns the value of the Authorization header that authenticates
// a request between the system's own processes.
func (k *Keyring) Authorization(method, path string, now time.Time) string {
	timestamp := strconv.FormatInt(now.Unix(), 10)
	return scheme + timestamp + ":" + hex.EncodeToString(k.computeMAC(0, signedRequest(method, path, timestamp)))
}

// VerifyAuthorization reports whether an Authorization header is valid for the request
// and its timestamp is within the permitted clock skew.
func (k *Keyring) VerifyAuthorization(header, method, path string, now time.Time) bool {
	timestamp, mac, found := strings.Cut(strings.TrimPrefix(header, scheme), ":")
	if !found || !strings.HasPrefix(header, scheme) {
		return false
	}
	seconds, err := strconv.ParseInt(timestamp, 10, 64)
	if err != nil || now.Sub(time.Unix(seconds, 0)).Abs() > maxClockSkew {
		return false
	}
	decoded, err := hex.DecodeString(mac)
	return err == nil && k.verify(decoded, signedRequest(method, path, timestamp))
}

func signedRequest(method, path, timestamp string) []byte {
	return []byte("request\x00" + method + "\x00" + path + "\x00" + timestamp)
}

func (k *Keyring) computeMAC(index int, payload []byte) []byte {
	mac := hmac.New(sha256.New, (*k.secrets.Load())[index])
	mac.Write(payload)
	return mac.Sum(nil)[:macBytes]
}

func (k *Keyring) verify(mac, payload []byte) bool {
	for index := range *k.secrets.Load() {
		if hmac.Equal(mac, k.computeMAC(index, payload)) {
			return true
		}
	}
	return false
}
