// Package secret signs tickets and authenticates the project's own processes.
//
// A Book holds one or more shared secrets. The first signs, all of them
// verify, so a secret is rolled by adding the new one everywhere, moving it to
// the front, and removing the old one. Replace changes a book while it is in
// use.
//
// # Usage
//
//	book, err := secret.New([]string{"…at least 32 characters…"})
//	sealed := book.Seal(payload)
//	payload, ok := book.Open(sealed)
//	request.Header.Set("Authorization", book.Authorization(method, path, now))
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
	// MinLength is the least number of characters of a secret.
	MinLength = 32
	macBytes  = 16
	scheme    = "Limpethall "
	// maxSkew is how far the clocks of two processes may differ.
	maxSkew = 2 * time.Minute
)

// ShortError reports a secret that is too short to be safe.
type ShortError struct{ index int }

// Error names the secret by its place, never by its text.
func (e *ShortError) Error() string {
	return fmt.Sprintf("secret %d is shorter than %d characters", e.index+1, MinLength)
}

// Book is a list of shared secrets.
type Book struct {
	secrets atomic.Pointer[[][]byte]
}

// New returns a book, or a *ShortError.
func New(secrets []string) (*Book, error) {
	book := &Book{}
	return book, book.Replace(secrets)
}

// ReadFile returns the secrets of a file, one on each line.
func ReadFile(path string) ([]string, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return strings.Fields(string(text)), nil
}

// Reload installs the secrets of a file. The present ones stay in force if it
// can't be read or holds one that is too short.
func (b *Book) Reload(path string) error {
	secrets, err := ReadFile(path)
	if err != nil {
		return err
	}
	return b.Replace(secrets)
}

// Replace installs other secrets.
func (b *Book) Replace(secrets []string) error {
	if len(secrets) == 0 {
		return &ShortError{}
	}
	list := make([][]byte, 0, len(secrets))
	for index, text := range secrets {
		if len(text) < MinLength {
			return &ShortError{index: index}
		}
		list = append(list, []byte(text))
	}
	b.secrets.Store(&list)
	return nil
}

// Seal returns the payload with its authentication code, safe for URLs.
func (b *Book) Seal(payload []byte) string {
	sealed := append(b.sign(0, payload), payload...)
	return base64.RawURLEncoding.EncodeToString(sealed)
}

// Open returns the payload of a sealed text, and false if nobody here sealed
// it.
func (b *Book) Open(sealed string) ([]byte, bool) {
	raw, err := base64.RawURLEncoding.DecodeString(sealed)
	if err != nil || len(raw) < macBytes {
		return nil, false
	}
	return raw[macBytes:], b.verify(raw[:macBytes], raw[macBytes:])
}

// Authorization returns the header that authenticates one request between the
// project's own processes.
func (b *Book) Authorization(method, path string, now time.Time) string {
	stamp := strconv.FormatInt(now.Unix(), 10)
	return scheme + stamp + ":" + hex.EncodeToString(b.sign(0, challenge(method, path, stamp)))
}

// Authorized reports whether a header was made by Authorization for the same
// request, recently.
func (b *Book) Authorized(header, method, path string, now time.Time) bool {
	stamp, code, found := strings.Cut(strings.TrimPrefix(header, scheme), ":")
	if !found || !strings.HasPrefix(header, scheme) {
		return false
	}
	seconds, err := strconv.ParseInt(stamp, 10, 64)
	if err != nil || now.Sub(time.Unix(seconds, 0)).Abs() > maxSkew {
		return false
	}
	given, err := hex.DecodeString(code)
	return err == nil && b.verify(given, challenge(method, path, stamp))
}

func challenge(method, path, stamp string) []byte {
	return []byte("request\x00" + method + "\x00" + path + "\x00" + stamp)
}

func (b *Book) sign(index int, payload []byte) []byte {
	mac := hmac.New(sha256.New, (*b.secrets.Load())[index])
	mac.Write(payload)
	return mac.Sum(nil)[:macBytes]
}

func (b *Book) verify(code, payload []byte) bool {
	for index := range *b.secrets.Load() {
		if hmac.Equal(code, b.sign(index, payload)) {
			return true
		}
	}
	return false
}
