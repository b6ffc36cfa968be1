package main

import (
	"path/filepath"

	"github.com/spf13/cobra"
)

// controllerProgram is the controller's program, which is in the directory of the node's.
const controllerProgram = "robincart-controller"

// registerNodeFlag adds the flag that names the node's program, for run.FindProgram.
func registerNodeFlag(command *cobra.Command, path *string) {
	command.Flags().StringVar(path, "node", "",
		"the node's program (default: robincart beside this program, or bin/robincart)")
}

// registerControllerFlag adds the flag that names the controller's program, for findController.
func registerControllerFlag(command *cobra.Command, path *string) {
	command.Flags().StringVar(path, "controller", "", "the controller's program (default: "+controllerProgram+
		" beside the node's)")
}

// isBetween reports whether a number is at least 1 and at most limit.
func isBetween(number, limit int) bool { return number >= 1 && number <= limit }

// findController returns the path of the controller's program, by default beside the node's.
func findController(path, nodePath string) string {
	if path != "" {
		return path
	}
	return filepath.Join(filepath.Dir(nodePath), controllerProgram)
}
