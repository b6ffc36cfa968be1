package main

import (
	"fmt"
	"io"
	"strings"

	"github.com/spf13/cobra"

	"robincart/internal/config/nodeconfig"
	"robincart/internal/core/routes"
	"robincart/internal/dataplane/services"
	"robincart/internal/protocol/httpwire"
)

// requestFlags are the flags that describe the request whose route is looked up.
type requestFlags struct {
	target, host, class, tenant, traceID, idempotencyKey string
	headers                                              []string
}

// routesCommand returns the command that prints the service of a request, or all routes.
func routesCommand() *cobra.Command {
	var flags requestFlags
	command := &cobra.Command{
		Use:   "routes FILE",
		Short: "Print the service of a request and the route that selects it; without a request, list all routes",
		Args:  cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, arguments []string) error {
			config, err := nodeconfig.Read(arguments[0], 0)
			if err != nil {
				return err
			}
			if flags.target == "" && flags.host == "" {
				printRoutes(command.OutOrStdout(), config)
				return nil
			}
			request, err := flags.request()
			if err != nil {
				return err
			}
			printRoute(command.OutOrStdout(), config, request)
			return nil
		},
	}
	set := command.Flags()
	set.StringVar(&flags.target, "path", "", "the request's path")
	set.StringVar(&flags.host, "host", "", "the request's host")
	set.StringVar(&flags.class, "class", "", "the request's class ("+httpwire.HeaderMethod+")")
	set.StringVar(&flags.tenant, "tenant", "", "the request's tenant ("+httpwire.HeaderTenant+")")
	set.StringVar(&flags.traceID, "trace", "", "the request's ID ("+httpwire.HeaderTraceID+")")
	set.StringVar(&flags.idempotencyKey, "mark", "",
		"the request's idempotency key ("+httpwire.HeaderIdempotencyKey+")")
	set.StringArrayVar(&flags.headers, "header", nil, "a header of the request, \"Name: value\"; may be repeated")
	return command
}

// request returns the request that the flags describe.
func (r *requestFlags) request() (*httpwire.Request, error) {
	request := &httpwire.Request{
		Target:         r.target,
		Host:           r.host,
		Method:         r.class,
		Tenant:         r.tenant,
		TraceID:        r.traceID,
		IdempotencyKey: r.idempotencyKey,
		Header:         map[string][]string{},
	}
	request.Path, _, _ = strings.Cut(r.target, "?")
	if request.Path == "" {
		request.Path = "/"
	}
	for _, header := range r.headers {
		name, value, ok := strings.Cut(header, ":")
		if !ok {
			return nil, fmt.Errorf("--header %q: expected \"Name: value\"", header)
		}
		request.Header.Add(strings.TrimSpace(name), strings.TrimSpace(value))
	}
	return request, nil
}

func printRoutes(w io.Writer, config *nodeconfig.Config) {
	for _, rule := range config.Table.Rules() {
		fmt.Fprintln(w, describeRule(rule, config))
	}
}

// printRoute prints the service and the route of a request. It also prints the other routes that match the request;
// they have a lower precedence.
func printRoute(w io.Writer, config *nodeconfig.Config, request *httpwire.Request) {
	routed, err := services.RouteRequest(request)
	if err != nil {
		fmt.Fprintf(w, "400: %v\n", err)
		return
	}
	matched, service, ok := config.Table.Find(&routed)
	if !ok {
		fmt.Fprintln(w, "404: no route takes it")
		return
	}
	rules := config.Table.Rules()
	fmt.Fprintf(w, "service %s, by route %s\n", config.Pools[service].Name, describeRule(rules[matched], config))
	for i, rule := range rules {
		if i == matched {
			continue
		}
		single, err := routes.Compile([]routes.Rule{rule}, len(config.Pools))
		if err != nil {
			continue
		}
		if _, _, ok := single.Find(&routed); ok {
			fmt.Fprintf(w, "  it goes before %s\n", describeRule(rule, config))
		}
	}
}
