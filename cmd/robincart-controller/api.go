package main

import (
	"os"

	"k8s.io/client-go/rest"
	"k8s.io/client-go/tools/clientcmd"
)

// apiTable configures the connection to the cluster manager's API: by a kubeconfig, by a server's address, or, if
// neither is set, by the in-cluster configuration that a pod has.
type apiTable struct {
	Server     string `toml:"server"`
	TokenFile  string `toml:"token_file"`
	CAFile     string `toml:"ca_file"`
	CertFile   string `toml:"cert_file"`
	KeyFile    string `toml:"key_file"`
	Kubeconfig string `toml:"kubeconfig"`
	Namespace  string `toml:"namespace"`
}

func (t *apiTable) config(found *problems) *rest.Config {
	switch {
	case t.Kubeconfig != "":
		if t.Server != "" {
			found.add("api: kubeconfig and server are both set: expected only one of them")
		}
		config, err := clientcmd.BuildConfigFromFlags("", t.Kubeconfig)
		if err != nil {
			found.add("api.kubeconfig: %w", err)
		}
		return config
	case t.Server != "":
		t.checkFiles(found)
		return &rest.Config{
			Host:            t.Server,
			BearerTokenFile: t.TokenFile,
			TLSClientConfig: rest.TLSClientConfig{CAFile: t.CAFile, CertFile: t.CertFile, KeyFile: t.KeyFile},
		}
	default:
		config, err := rest.InClusterConfig()
		if err != nil {
			found.add("api: neither server nor kubeconfig is set, and there is no in-cluster configuration: %w", err)
		}
		return config
	}
}

// checkFiles adds a problem for each configured file that can't be found.
func (t *apiTable) checkFiles(found *problems) {
	for _, file := range []struct{ key, path string }{
		{"token_file", t.TokenFile},
		{"ca_file", t.CAFile},
		{"cert_file", t.CertFile},
		{"key_file", t.KeyFile},
	} {
		if file.path == "" {
			continue
		}
		if _, err := os.Stat(file.path); err != nil {
			found.add("api.%s: %w", file.key, err)
		}
	}
}
