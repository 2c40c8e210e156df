package main

import (
	"fmt"
	"path/filepath"
	"time"

	"github.com/spf13/cobra"

	"martendrum/internal/fleet/api"
	"martendrum/internal/fleet/pki"
)

// caCommand returns the command that creates the fleet's CA and certificates.
func caCommand() *cobra.Command {
	ca := &cobra.Command{Use: "ca", GroupID: "run", Short: "Make the fleet's certificates for a start",
		Long: "Make a CA and certificates for agents and operators. A fleet that has a CA of its own\ncan use that: agents need the host's name in theirs, operators the role (view or operate)\nas organisational unit."}
	dir := ca.PersistentFlags().String("dir", "ca", "folder of ca.crt, ca.key and the certificates; keep ca.key safe")
	// printCreated prints which files were created, and returns err.
	printCreated := func(name string, err error) error {
		if err == nil {
			fmt.Printf("created %s and %s\n", filepath.Join(*dir, name+".crt"), filepath.Join(*dir, name+".key"))
		}
		return err
	}
	initCA := &cobra.Command{Use: "init", Short: "Make the CA", Args: cobra.NoArgs, RunE: func(*cobra.Command, []string) error {
		return printCreated("ca", pki.Init(*dir, time.Now()))
	}}
	agent := &cobra.Command{Use: "agent NAME ADDRESS...", Short: "Make an agent's certificate, for the names and addresses it is reached at", Args: cobra.MinimumNArgs(2),
		RunE: func(_ *cobra.Command, args []string) error {
			return printCreated(args[0], pki.Agent(*dir, args[0], args[1:], time.Now()))
		}}
	operator := &cobra.Command{Use: "operator NAME", Short: "Make an operator's certificate", Args: cobra.ExactArgs(1)}
	role := operator.Flags().String("role", api.View, "view or operate")
	operator.RunE = func(_ *cobra.Command, args []string) error {
		if *role != api.View && *role != api.Operate {
			return fmt.Errorf("--role %q: want %s or %s", *role, api.View, api.Operate)
		}
		return printCreated(args[0], pki.Operator(*dir, args[0], *role, time.Now()))
	}
	ca.AddCommand(initCA, agent, operator)
	return ca
}
