package keys

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"fmt"
	"io/fs"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"time"
)

const (
	authorityName = "ca"
	// clockSkew is how long before now certificates are valid, for machines whose clocks are behind.
	clockSkew = time.Minute
	// serialBits is the length of serial numbers, which are random.
	serialBits = 120

	publicMode fs.FileMode = 0o644
	secretMode fs.FileMode = 0o600
	dirMode    fs.FileMode = 0o700
)

// Make writes keys for tests and drills: an authority, whose own key is not written, and a certificate and key for
// each name, valid for loopback and the hosts. It overwrites nothing: if any of the files exists, none is written.
func Make(dir string, names, hosts []string, validity time.Duration) error {
	if validity <= 0 || len(names) == 0 {
		return errors.New("keys: a name and a life above 0 are needed")
	}
	if err := checkUnused(dir, names); err != nil {
		return err
	}
	if err := os.MkdirAll(dir, dirMode); err != nil {
		return fmt.Errorf("keys: %w", err)
	}
	issuer, err := newAuthority(time.Now(), validity)
	if err != nil {
		return err
	}
	if err := writePEM(filepath.Join(dir, authorityName+".pem"), "CERTIFICATE", issuer.der, publicMode); err != nil {
		return err
	}
	for _, name := range names {
		if err := issuer.writePair(dir, name, hosts); err != nil {
			return err
		}
	}
	return nil
}

// checkUnused returns an error if a name can't be a file's, or a file exists.
func checkUnused(dir string, names []string) error {
	paths := []string{filepath.Join(dir, authorityName+".pem")}
	for _, name := range names {
		if name == "" || name == authorityName || name != filepath.Base(name) || name[0] == '.' {
			return fmt.Errorf("keys: %q is no name for a file", name)
		}
		paths = append(paths, certificatePath(dir, name), keyPath(dir, name))
	}
	for _, path := range paths {
		if _, err := os.Lstat(path); !errors.Is(err, fs.ErrNotExist) {
			return fmt.Errorf("keys: %s is there already", path)
		}
	}
	return nil
}

func certificatePath(dir, name string) string { return filepath.Join(dir, name+".pem") }

func keyPath(dir, name string) string { return filepath.Join(dir, name+".key") }

// authority issues certificates.
type authority struct {
	certificate         *x509.Certificate
	key                 *ecdsa.PrivateKey
	der                 []byte
	notBefore, notAfter time.Time
}

func newAuthority(now time.Time, validity time.Duration) (*authority, error) {
	a := &authority{notBefore: now.Add(-clockSkew), notAfter: now.Add(validity)}
	var err error
	if a.certificate, a.key, err = a.newTemplate(authorityName); err != nil {
		return nil, err
	}
	a.certificate.IsCA = true
	a.certificate.BasicConstraintsValid = true
	a.certificate.KeyUsage = x509.KeyUsageCertSign
	a.der, err = x509.CreateCertificate(rand.Reader, a.certificate, a.certificate, a.key.Public(), a.key)
	return a, err
}

// newTemplate returns a certificate that is still to be signed, and its key.
func (a *authority) newTemplate(name string) (*x509.Certificate, *ecdsa.PrivateKey, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, nil, err
	}
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, nil, err
	}
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name, Organization: []string{"robincart, for tests only"}},
		NotBefore:    a.notBefore,
		NotAfter:     a.notAfter,
	}, key, nil
}

// writePair issues and writes the certificate and key of a name.
func (a *authority) writePair(dir, name string, hosts []string) error {
	certificate, key, err := a.newTemplate(name)
	if err != nil {
		return err
	}
	certificate.KeyUsage = x509.KeyUsageDigitalSignature
	certificate.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	certificate.DNSNames = []string{"localhost"}
	certificate.IPAddresses = []net.IP{net.IPv4(127, 0, 0, 1), net.IPv6loopback}
	for _, host := range hosts {
		if ip := net.ParseIP(host); ip != nil {
			certificate.IPAddresses = append(certificate.IPAddresses, ip)
		} else {
			certificate.DNSNames = append(certificate.DNSNames, host)
		}
	}
	der, err := x509.CreateCertificate(rand.Reader, certificate, a.certificate, key.Public(), a.key)
	if err != nil {
		return err
	}
	secret, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return err
	}
	return errors.Join(
		writePEM(certificatePath(dir, name), "CERTIFICATE", der, publicMode),
		writePEM(keyPath(dir, name), "PRIVATE KEY", secret, secretMode),
	)
}

func writePEM(path, kind string, der []byte, mode fs.FileMode) error {
	return os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), mode)
}
