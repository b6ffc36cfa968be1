package controller

import (
	"context"
	"fmt"
	"time"

	coordination "k8s.io/api/coordination/v1"
	core "k8s.io/api/core/v1"
	discovery "k8s.io/api/discovery/v1"
	"k8s.io/apimachinery/pkg/runtime/schema"
	"k8s.io/client-go/kubernetes/scheme"
	"k8s.io/client-go/rest"
)

const (
	// apiCheckTimeout bounds the request by which checkAPI tests the API at startup.
	apiCheckTimeout = 10 * time.Second
	// apiCallTimeout bounds one write to the API.
	apiCallTimeout = 5 * time.Second

	apiRequestsPerSecond = 50
	apiRequestBurst      = 100
)

// apiClients holds one REST client for each group of the API.
type apiClients struct {
	core         rest.Interface
	discovery    rest.Interface
	coordination rest.Interface
}

func newAPIClients(config *rest.Config) (apiClients, error) {
	var clients apiClients
	var err error
	if clients.core, err = newAPIClient(config, core.SchemeGroupVersion); err != nil {
		return clients, err
	}
	if clients.discovery, err = newAPIClient(config, discovery.SchemeGroupVersion); err != nil {
		return clients, err
	}
	clients.coordination, err = newAPIClient(config, coordination.SchemeGroupVersion)
	return clients, err
}

// newAPIClient returns a REST client for one group and version of the API.
func newAPIClient(config *rest.Config, version schema.GroupVersion) (rest.Interface, error) {
	config = rest.CopyConfig(config)
	config.GroupVersion = &version
	config.APIPath = "/apis"
	if version.Group == core.GroupName {
		config.APIPath = "/api"
	}
	config.NegotiatedSerializer = scheme.Codecs.WithoutConversion()
	config.ContentType = "application/json"
	config.AcceptContentTypes = "application/json"
	config.QPS = apiRequestsPerSecond
	config.Burst = apiRequestBurst
	return rest.RESTClientFor(config)
}

// checkAPI sends one list request to the API and returns its error, so that a wrong address or wrong credentials make
// the start fail. With such an error, the reflectors would retry forever.
func (c *Controller) checkAPI(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, apiCheckTimeout)
	defer cancel()
	request := c.clients.discovery.Get().Namespace(c.config.Namespace).Resource(kindEndpointSlices)
	if err := request.Param("limit", "1").Do(ctx).Error(); err != nil {
		return fmt.Errorf("list %s in namespace %s at the API %s: %w",
			kindEndpointSlices, c.config.Namespace, c.config.API.Host, err)
	}
	return nil
}
