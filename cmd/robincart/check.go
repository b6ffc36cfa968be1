package main

import (
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"robincart/internal/config/nodeconfig"
	"robincart/internal/core/routes"
	"robincart/internal/resources/quota"
)

// checkCommand returns the command that validates a configuration file and prints its effective settings.
func checkCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "check FILE",
		Short: "Validate a configuration file: print its effective settings, or every error in it",
		Args:  cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, arguments []string) error {
			config, err := nodeconfig.Read(arguments[0], 0)
			if err != nil {
				return err
			}
			printConfig(command.OutOrStdout(), config)
			return nil
		},
	}
}

func printConfig(w io.Writer, config *nodeconfig.Config) {
	const limits = "%s listens on %s; %d connections of callers, %d requests at once, %d connections to servers, " +
		"%d MB for bodies\n"
	total := config.Quota.Total
	fmt.Fprintf(w, limits, config.Name, strings.Join(config.Listen, ", "), config.Limits.MaxClientConnections,
		total[quota.InFlight], total[quota.Connections], total[quota.BodyBytes]>>20)
	for _, gateway := range config.Gateways {
		fmt.Fprintf(w, "gateways that speak FastCGI at %s\n", gateway.Listen)
	}
	for _, pool := range config.Pools {
		fmt.Fprintf(w, "service %s: %s; %s; methods %s\n", pool.Name, describeServers(pool),
			describeQuota(pool, config), describeMethods(pool))
	}
	for _, rule := range config.Table.Rules() {
		fmt.Fprintf(w, "route %s\n", describeRule(rule, config))
	}
}

func describeServers(pool nodeconfig.Pool) string {
	if pool.Discovery == "" {
		return fmt.Sprintf("%d servers", len(pool.Servers))
	}
	return "discovery at " + pool.Discovery
}

func describeQuota(pool nodeconfig.Pool, config *nodeconfig.Config) string {
	if config.Sharing.Off {
		return "no bounds"
	}
	total := float64(config.Quota.Total[quota.InFlight])
	guaranteed := int(pool.Guarantee * total)
	reserved := int(pool.Guarantee * config.Quota.ReservedFraction * total)
	return fmt.Sprintf("%d requests guaranteed, %d of them never lent, weight %g", guaranteed, reserved, pool.Weight)
}

func describeMethods(pool nodeconfig.Pool) string {
	var methods []string
	for _, method := range pool.Methods {
		deadline := time.Duration(method.Deadline)
		methods = append(methods, fmt.Sprintf("%s (%s, %v)", method.Name, method.Idempotency, deadline))
	}
	return strings.Join(methods, ", ")
}

func describeRule(rule routes.Rule, config *nodeconfig.Config) string {
	text := fmt.Sprintf("%s: %s -> %s", rule.Name, describeMatch(rule), describeTargets(rule, config))
	if len(rule.To) > 1 {
		text += " by " + rule.SplitBy
	}
	return text
}

// describeMatch describes the requests that a rule matches.
func describeMatch(rule routes.Rule) string {
	var parts []string
	if rule.Host != "" {
		parts = append(parts, "host "+rule.Host)
	}
	if rule.Path != "" {
		parts = append(parts, "path "+rule.Path)
	}
	if rule.Class != "" {
		parts = append(parts, "class "+rule.Class)
	}
	switch {
	case rule.HeaderPresent:
		parts = append(parts, "header "+rule.Header+" present")
	case rule.Header != "":
		parts = append(parts, fmt.Sprintf("header %s is %q", rule.Header, rule.Value))
	}
	if len(parts) == 0 {
		return "anything"
	}
	return strings.Join(parts, ", ")
}

// describeTargets describes the services that a rule sends its requests to.
func describeTargets(rule routes.Rule, config *nodeconfig.Config) string {
	var targets []string
	for _, target := range rule.To {
		name := config.Pools[target.Service].Name
		if len(rule.To) > 1 {
			name = fmt.Sprintf("%s (%g)", name, target.Weight)
		}
		targets = append(targets, name)
	}
	return strings.Join(targets, " or ")
}
