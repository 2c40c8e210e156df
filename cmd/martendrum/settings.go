package main

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"martendrum/internal/fleet/api"
	"martendrum/internal/fleet/control/client"
	"martendrum/internal/fleet/distribution"
)

// publishFlags holds the flags of `change publish`.
type publishFlags struct {
	file, relay, onlyIf string   // onlyIf: the revision that the resource must be at
	scope               []string // labels as KEY=VALUE
	fraction            float64  // of the hosts, 0 to 1
	onlyNew, remove     bool
}

// publishCommand returns the command that publishes settings.
func publishCommand(g *globalFlags) *cobra.Command {
	p := &publishFlags{}
	c := &cobra.Command{Use: "publish NAME", Short: "Publish settings for the hosts that follow the relays", Args: cobra.ExactArgs(1),
		Long: `A resource is an overlay (a JSON merge patch) for the configuration of all instances in its
scope. Publishing writes a new revision at the settings' writer and ends; relays and agents
carry it on, also to hosts that are away now. "martendrum list --settings" tells where it is
in force. To take a change back, publish the earlier content.`,
		Example: `  martendrum change publish limits/checkout --file limits.json --scope service=checkout
  martendrum change publish limits/checkout --file new.json --scope service=checkout --if 1.42
  martendrum change publish trial --file trial.json --share 0.05
  martendrum change publish trial --remove`}
	f := c.Flags()
	f.StringVar(&p.file, "file", "", "the overlay, a JSON object")
	f.StringArrayVar(&p.scope, "scope", nil, "KEY=VALUE, a label that an instance must have; all of them, where there are several")
	f.Float64Var(&p.fraction, "share", 1, "the part of the hosts, drawn by a hash of their names")
	f.StringVar(&p.onlyIf, "if", "", "only if the resource is at this revision")
	f.BoolVar(&p.onlyNew, "new", false, "only if there is no resource of this name")
	f.BoolVar(&p.remove, "remove", false, "remove the resource")
	f.StringVar(&p.relay, "relay", "", "ask this relay for the writer (default: those that the inventory labels relay = \"true\")")
	c.MarkFlagsMutuallyExclusive("file", "remove")
	c.MarkFlagsOneRequired("file", "remove")
	c.MarkFlagsMutuallyExclusive("if", "new")
	c.RunE = func(c *cobra.Command, args []string) error {
		put, err := p.change(args[0])
		if err != nil {
			return err
		}
		fleet, err := g.openFleet()
		if err != nil {
			return err
		}
		defer fleet.Close()
		out, err := fleet.Publish(c.Context(), p.relay, put)
		if err != nil {
			return settingsError(err)
		}
		if g.json {
			return printJSON(out)
		}
		if !out.Changed {
			fmt.Printf("%s is already as requested, since revision %v\n", out.Resource.Name, out.Resource.Revision)
			return nil
		}
		fmt.Printf("%s is at revision %v; `martendrum list --settings --revision %v` shows where it is in force\n",
			out.Resource.Name, out.Resource.Revision, out.Resource.Revision)
		return nil
	}
	return c
}

// change returns the change of the resource called name that the flags describe.
func (p *publishFlags) change(name string) (distribution.Put, error) {
	put := distribution.Put{Name: name, Remove: p.remove}
	if p.fraction != 1 {
		put.Scope.Fraction = p.fraction
	}
	for _, label := range p.scope {
		key, value, ok := strings.Cut(label, "=")
		if !ok || key == "" {
			return put, fmt.Errorf("--scope %q: want KEY=VALUE", label)
		}
		if put.Scope.Labels == nil {
			put.Scope.Labels = make(map[string]string)
		}
		put.Scope.Labels[key] = value
	}
	if p.onlyNew {
		put.If = &distribution.Revision{}
	}
	if p.onlyIf != "" {
		revision, err := distribution.ParseRevision(p.onlyIf)
		if err != nil {
			return put, err
		}
		put.If = &revision
	}
	if p.file != "" {
		content, err := os.ReadFile(p.file)
		if err != nil {
			return put, err
		}
		put.Content = content
	}
	return put, nil
}

// settingsError adds the exit code exitPartial (1) to an error that a relay returned, unless it says that
// the settings are invalid, which is wrong usage. Other errors, such as that of an unreachable relay,
// are returned as they are.
func settingsError(err error) error {
	if rejection, ok := errors.AsType[*api.Error](err); ok && rejection.Code != api.SettingsInvalid {
		return &exitError{exitPartial, err}
	}
	return err
}

// promoteCommand returns the command that makes a relay the writer.
func promoteCommand(g *globalFlags) *cobra.Command {
	return &cobra.Command{Use: "promote HOST", Short: "Make a relay the writer of the distributed settings", Args: cobra.ExactArgs(1),
		Long: `Promote a relay when the writer is lost. The epoch rises; what the earlier writer says
after that is void, and changes that no relay had copied from it are lost: publish them again.
Promote the relay that has the latest revision (martendrum list --settings --relay HOST).`,
		RunE: func(c *cobra.Command, args []string) error {
			fleet, err := g.openFleet()
			if err != nil {
				return err
			}
			defer fleet.Close()
			out, err := fleet.Promote(c.Context(), args[0])
			if err != nil {
				return settingsError(err)
			}
			if g.json {
				return printJSON(out)
			}
			fmt.Printf("%s writes since epoch %d\n", out.Writer, out.Epoch)
			return nil
		}}
}

// settingsFlags holds the flags of `list --settings`.
type settingsFlags struct {
	enabled, resources bool
	revision, relay    string
	limit              int // maximum number of hosts that are listed
}

// add defines the flags on a command.
func (s *settingsFlags) add(c *cobra.Command) {
	f := c.Flags()
	f.BoolVar(&s.enabled, "settings", false, "tell where a revision of the distributed settings is in force, and where not")
	f.StringVar(&s.revision, "revision", "", "with --settings: this revision (default: the latest)")
	f.BoolVar(&s.resources, "resources", false, "with --settings: the wanted resources instead")
	f.StringVar(&s.relay, "relay", "", "with --settings: ask this relay")
	f.IntVar(&s.limit, "most", 20, "with --settings: name so many hosts where it is not in force")
}

// printProgress prints on which hosts a revision is in force, or with --resources the resources. It
// returns an error with the exit code exitPartial unless the revision is known to be in force on all
// hosts.
func (s *settingsFlags) printProgress(c *cobra.Command, g *globalFlags, fleet *client.Fleet) error {
	if s.resources {
		return s.printResources(c, g, fleet)
	}
	var revision distribution.Revision
	if s.revision != "" {
		var err error
		if revision, err = distribution.ParseRevision(s.revision); err != nil {
			return err
		}
	}
	out, err := fleet.InForce(c.Context(), s.relay, revision, s.limit)
	if err != nil {
		return settingsError(err)
	}
	if g.json {
		if err := printJSON(out); err != nil {
			return err
		}
	} else {
		printInForce(out)
	}
	if !out.Complete || out.Status.InForce < out.Status.Hosts {
		return &exitError{exitPartial, nil}
	}
	return nil
}

// printInForce prints on how many hosts a revision is in force, and lists some of the others.
func printInForce(out *api.SettingsStatusOut) {
	status := &out.Status
	fmt.Printf("revision %v (latest %v), writer %s in epoch %d\n", status.Revision, status.Latest, out.Writer.Writer, out.Writer.Epoch)
	fmt.Printf("in force on %d of %d hosts; rejected on %d, not applied yet on %d, unavailable: %d\n", status.InForce, status.Hosts, status.Rejected, status.Behind, status.Unavailable)
	if !out.Complete {
		fmt.Println("the writer does not answer: the counts cover only the hosts of the relays that do")
	}
	if len(status.Missing) == 0 {
		return
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "HOST\tRELAY\tIN FORCE\tRECEIVED\tPRESENT\tNOTE")
	for _, host := range status.Missing {
		note := host.State.Waiting
		for _, rejection := range host.State.Rejections {
			note = fmt.Sprintf("%s rejected %s of revision %v: %s", rejection.Instance, rejection.Resource, rejection.Revision, rejection.Reason)
		}
		present := "yes, for " + age(host.Since)
		if !host.Present {
			present = "no, for " + age(host.Since)
		}
		fmt.Fprintf(w, "%s\t%s\t%v\t%v\t%s\t%s\n", host.Host, host.Relay, host.State.Applied, host.State.Received, present, note)
	}
	w.Flush()
}

// printResources prints the resources that are published, whether or not hosts have applied them.
func (s *settingsFlags) printResources(c *cobra.Command, g *globalFlags, fleet *client.Fleet) error {
	revision, resources, err := fleet.Resources(c.Context(), s.relay, "")
	if err != nil {
		return settingsError(err)
	}
	if g.json {
		return printJSON(resources)
	}
	fmt.Printf("revision %v\n", revision)
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "NAME\tREVISION\tSCOPE\tSHARE\tBYTES\tAT\tBY")
	for _, r := range resources {
		share := r.Scope.Fraction
		if share == 0 {
			share = 1
		}
		fmt.Fprintf(w, "%s\t%v\t%v\t%v\t%d\t%s ago\t%s\n", r.Name, r.Revision, r.Scope.Labels, share, len(r.Content), age(r.At), r.Author)
	}
	return w.Flush()
}

// printInstanceSettings prints the state of an instance's distributed settings for inspect, and
// nothing if s is nil.
func printInstanceSettings(s *api.InstanceSettings) {
	if s == nil {
		return
	}
	relay := s.Relay
	if relay == "" {
		relay = "none answers"
	}
	fmt.Printf("\ndistributed settings: revision %v received, relay: %s\n", s.Received, relay)
	for _, accepted := range s.Accepted {
		fmt.Printf("  %s of revision %v is in force\n", accepted.Name, accepted.Revision)
	}
	for _, rejection := range s.Rejections {
		fmt.Printf("  %s of revision %v was rejected: %s\n", rejection.Resource, rejection.Revision, rejection.Reason)
	}
	if s.Waiting != "" {
		fmt.Printf("  changes are waiting: %s\n", s.Waiting)
	}
}
