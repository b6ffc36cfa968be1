// Package keys holds the certificates and keys of one side of mutual TLS connections. They are read from files,
// reloaded when the files change, and watched for the certificate's expiry.
//
// Only peers with a certificate of the configured authorities are trusted. The package does not issue certificates
// for production; Make writes some for tests and drills.
package keys

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"time"
)

// Files names a process's certificate and key and the authorities that it trusts, all in PEM. All or none of them
// are set.
type Files struct {
	Cert string `toml:"cert"`
	Key  string `toml:"key"`
	CA   string `toml:"ca"`
}

// Enabled reports whether there are keys.
func (f Files) Enabled() bool { return f != Files{} }

// Validate returns an error if some files are named and others are not.
func (f Files) Validate() error {
	if f.Enabled() && (f.Cert == "" || f.Key == "" || f.CA == "") {
		return errors.New("cert, key and ca go together")
	}
	return nil
}

const (
	// maxFileBytes is the size of the largest file that is read.
	maxFileBytes = 1 << 20
	// othersMode are the permissions that nobody but the owner of a key may have.
	othersMode fs.FileMode = 0o077
)

// ValidityError reports a certificate that has expired or is not valid yet.
type ValidityError struct {
	Path                     string
	NotBefore, NotAfter, Now time.Time
}

func (v *ValidityError) Error() string {
	return fmt.Sprintf("%s holds from %v to %v, and it is %v", v.Path, v.NotBefore.UTC(), v.NotAfter.UTC(), v.Now.UTC())
}

// keySet is the content of the files.
type keySet struct {
	certificate tls.Certificate
	authorities *x509.CertPool
}

// load reads the files. They are used together or not at all.
func (f Files) load(now time.Time) (*keySet, error) {
	set, err := f.parse(now)
	if err != nil {
		return nil, fmt.Errorf("keys: %w", err)
	}
	return set, nil
}

func (f Files) parse(now time.Time) (*keySet, error) {
	certificatePEM, err := readFile(f.Cert, false)
	if err != nil {
		return nil, err
	}
	keyPEM, err := readFile(f.Key, true)
	if err != nil {
		return nil, err
	}
	authoritiesPEM, err := readFile(f.CA, false)
	if err != nil {
		return nil, err
	}
	certificate, err := tls.X509KeyPair(certificatePEM, keyPEM)
	if err != nil {
		return nil, fmt.Errorf("%s and %s: %w", f.Cert, f.Key, err)
	}
	leaf := certificate.Leaf
	if now.After(leaf.NotAfter) || now.Before(leaf.NotBefore) {
		return nil, &ValidityError{Path: f.Cert, NotBefore: leaf.NotBefore, NotAfter: leaf.NotAfter, Now: now}
	}
	authorities := x509.NewCertPool()
	if !authorities.AppendCertsFromPEM(authoritiesPEM) {
		return nil, fmt.Errorf("%s holds no certificate", f.CA)
	}
	return &keySet{certificate: certificate, authorities: authorities}, nil
}

// readFile reads a file, which only its owner may read if it is secret.
func readFile(path string, secret bool) ([]byte, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if info.Size() > maxFileBytes {
		return nil, fmt.Errorf("%s: %d bytes are no key", path, info.Size())
	}
	if secret && info.Mode().Perm()&othersMode != 0 {
		return nil, fmt.Errorf("%s: others may read it (mode %v)", path, info.Mode().Perm())
	}
	return os.ReadFile(path)
}

// version returns a text that changes when any of the files does.
func (f Files) version() string {
	var version string
	for _, path := range []string{f.Cert, f.Key, f.CA} {
		info, err := os.Stat(path)
		if err != nil {
			version += err.Error()
			continue
		}
		version += fmt.Sprint(info.ModTime().UnixNano(), info.Size(), info.Mode(), ";")
	}
	return version
}
