// Package keys holds the keys of one side of a mutual TLS connection: read from files, read again when they change, and
// watched for their end. Nobody is trusted but who shows a certificate of the named authorities.
package keys

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"net"
	"os"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
)

// Files names a process's certificate and key and the authorities that it trusts, all in PEM. All or none of them are set.
type Files struct {
	Cert string `toml:"cert"`
	Key  string `toml:"key"`
	CA   string `toml:"ca"`
}

// Enabled tells whether there are keys.
func (f Files) Enabled() bool { return f != Files{} }

// Validate names what is missing.
func (f Files) Validate() error {
	if f.Enabled() && (f.Cert == "" || f.Key == "" || f.CA == "") {
		return errors.New("cert, key and ca go together")
	}
	return nil
}

const (
	look       = time.Second
	remind     = 24 * time.Hour
	mostFile   = 1 << 20
	aheadShare = 4 // the last quarter of a certificate's life is told
)

// Ring is what is in force of them.
type Ring struct {
	files Files
	log   *zap.Logger
	now   func() time.Time
	held  atomic.Pointer[held]

	// Run's alone.
	stamp  string // of the files when they were read last
	failed string // what could not be read, as last told
	told   time.Time
	ended  bool
}

type held struct {
	cert  tls.Certificate
	trust *x509.CertPool
}

// Open reads the files. The error is what an operator has to mend.
func Open(f Files, log *zap.Logger) (*Ring, error) {
	r := &Ring{files: f, log: log, now: time.Now}
	r.stamp = r.stamps()
	h, err := r.read()
	if err != nil {
		return nil, err
	}
	r.held.Store(h)
	return r, nil
}

// read reads all three; they hold together or are not taken.
func (r *Ring) read() (*held, error) {
	var text [3][]byte
	for i, path := range []string{r.files.Cert, r.files.Key, r.files.CA} {
		info, err := os.Stat(path)
		if err == nil && info.Size() > mostFile {
			err = fmt.Errorf("%s: %d bytes are no key", path, info.Size())
		}
		if err == nil && path == r.files.Key && info.Mode().Perm()&0o077 != 0 {
			err = fmt.Errorf("%s: others may read it (mode %v)", path, info.Mode().Perm())
		}
		if err == nil {
			text[i], err = os.ReadFile(path)
		}
		if err != nil {
			return nil, fmt.Errorf("keys: %w", err)
		}
	}
	cert, err := tls.X509KeyPair(text[0], text[1])
	if err != nil {
		return nil, fmt.Errorf("keys: %s and %s: %w", r.files.Cert, r.files.Key, err)
	}
	if now := r.now(); now.After(cert.Leaf.NotAfter) || now.Before(cert.Leaf.NotBefore) {
		return nil, fmt.Errorf("keys: %s holds from %v to %v, and it is %v", r.files.Cert, cert.Leaf.NotBefore.UTC(), cert.Leaf.NotAfter.UTC(), now.UTC())
	}
	h := &held{cert: cert, trust: x509.NewCertPool()}
	if !h.trust.AppendCertsFromPEM(text[2]) {
		return nil, fmt.Errorf("keys: %s holds no certificate", r.files.CA)
	}
	return h, nil
}

// stamps tells whether any of the files has changed.
func (r *Ring) stamps() (s string) {
	for _, path := range []string{r.files.Cert, r.files.Key, r.files.CA} {
		info, err := os.Stat(path)
		if err != nil {
			s += err.Error()
			continue
		}
		s += fmt.Sprint(info.ModTime().UnixNano(), info.Size(), info.Mode(), ";")
	}
	return s
}

// Run follows the files until the context ends. What can't be used is told, and the keys before stay in force.
func (r *Ring) Run(ctx context.Context) {
	tick := time.NewTicker(look)
	defer tick.Stop()
	for {
		r.tick()
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

func (r *Ring) tick() {
	if s := r.stamps(); s != r.stamp || r.failed != "" {
		r.stamp = s
		h, err := r.read()
		switch {
		case err == nil:
			r.held.Store(h)
			r.log.Info("keys read again", zap.String("cert", r.files.Cert), zap.Time("until", h.cert.Leaf.NotAfter))
			r.failed, r.told, r.ended = "", time.Time{}, false
		case err.Error() != r.failed: // in the middle of a change the files need not fit each other
			r.failed = err.Error()
			r.log.Error("the changed keys can't be used; those before stay", zap.Error(err))
		}
	}
	now, leaf := r.now(), r.held.Load().cert.Leaf
	left := leaf.NotAfter.Sub(now)
	switch {
	case left <= 0 && !r.ended:
		r.ended = true
		r.log.Error("the certificate has ended: nobody takes it any more", zap.String("cert", r.files.Cert), zap.Time("until", leaf.NotAfter))
	case left > 0 && left < leaf.NotAfter.Sub(leaf.NotBefore)/aheadShare && now.Sub(r.told) >= remind:
		r.told = now
		r.log.Warn("the certificate ends soon", zap.String("cert", r.files.Cert), zap.Time("until", leaf.NotAfter), zap.Duration("left", left.Round(time.Minute)))
	}
}

// Server is for who is connected to. No session is taken up again: its peer's certificate may be trusted no more.
func (r *Ring) Server() *tls.Config {
	return &tls.Config{MinVersion: tls.VersionTLS13, SessionTicketsDisabled: true, GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
		h := r.held.Load()
		return &tls.Config{MinVersion: tls.VersionTLS13, SessionTicketsDisabled: true, Certificates: []tls.Certificate{h.cert}, ClientCAs: h.trust,
			ClientAuth: tls.RequireAndVerifyClientCert}, nil
	}}
}

// Client is for one connection to an address, whose host the certificate there has to name.
func (r *Ring) Client(addr string) *tls.Config {
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		host = addr
	}
	h := r.held.Load()
	return &tls.Config{MinVersion: tls.VersionTLS13, ServerName: host, RootCAs: h.trust, Certificates: []tls.Certificate{h.cert}}
}
