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

// Make writes keys for tests and drills: an authority, whose own key is kept nowhere, and a certificate and key for each
// name, good for loopback and the hosts given. Files that are there stay as they are, and none is written then.
func Make(dir string, names, hosts []string, life time.Duration) error {
	if life <= 0 || len(names) == 0 {
		return errors.New("keys: a name and a life above 0 are needed")
	}
	paths := []string{filepath.Join(dir, "ca.pem")}
	for _, name := range names {
		if name == "" || name == "ca" || name != filepath.Base(name) || name[0] == '.' {
			return fmt.Errorf("keys: %q is no name for a file", name)
		}
		paths = append(paths, filepath.Join(dir, name+".pem"), filepath.Join(dir, name+".key"))
	}
	for _, path := range paths {
		if _, err := os.Lstat(path); !errors.Is(err, fs.ErrNotExist) {
			return fmt.Errorf("keys: %s is there already", path)
		}
	}
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return fmt.Errorf("keys: %w", err)
	}
	now := time.Now()
	shape := func(name string) (*x509.Certificate, *ecdsa.PrivateKey, error) {
		key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
		if err != nil {
			return nil, nil, err
		}
		serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), 120))
		if err != nil {
			return nil, nil, err
		}
		return &x509.Certificate{SerialNumber: serial, Subject: pkix.Name{CommonName: name, Organization: []string{"robincart, for tests only"}},
			NotBefore: now.Add(-time.Minute), NotAfter: now.Add(life)}, key, nil
	}
	ca, caKey, err := shape("ca")
	if err != nil {
		return err
	}
	ca.IsCA, ca.BasicConstraintsValid, ca.KeyUsage = true, true, x509.KeyUsageCertSign
	write := func(path, kind string, der []byte, mode fs.FileMode) error {
		return os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), mode)
	}
	der, err := x509.CreateCertificate(rand.Reader, ca, ca, caKey.Public(), caKey)
	if err != nil {
		return err
	}
	if err := write(paths[0], "CERTIFICATE", der, 0o644); err != nil {
		return err
	}
	for i, name := range names {
		c, key, err := shape(name)
		if err != nil {
			return err
		}
		c.KeyUsage, c.ExtKeyUsage = x509.KeyUsageDigitalSignature, []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
		c.DNSNames, c.IPAddresses = []string{"localhost"}, []net.IP{net.IPv4(127, 0, 0, 1), net.IPv6loopback}
		for _, h := range hosts {
			if ip := net.ParseIP(h); ip != nil {
				c.IPAddresses = append(c.IPAddresses, ip)
			} else {
				c.DNSNames = append(c.DNSNames, h)
			}
		}
		if der, err = x509.CreateCertificate(rand.Reader, c, ca, key.Public(), caKey); err != nil {
			return err
		}
		secret, err := x509.MarshalPKCS8PrivateKey(key)
		if err != nil {
			return err
		}
		if err := errors.Join(write(paths[1+2*i], "CERTIFICATE", der, 0o644), write(paths[2+2*i], "PRIVATE KEY", secret, 0o600)); err != nil {
			return err
		}
	}
	return nil
}
