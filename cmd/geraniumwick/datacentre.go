package main

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/geraniumwick/geraniumwick/internal/config"
	"github.com/geraniumwick/geraniumwick/internal/model"
	"github.com/geraniumwick/geraniumwick/internal/query"
)

// addDataCentreCommands adds the commands about data centres.
func addDataCentreCommands(app *kingpin.Application, all commands) {
	cmd := app.Command("datacentre", "Take data centres out of service and back in.")
	addSetDataCentre(cmd, all, "out", "Take a data centre out of service: nothing starts there any more, and its batch work moves.")
	addSetDataCentre(cmd, all, "in", "Bring a data centre back into service.")
	addDataCentreStatus(cmd, all)
}

func addSetDataCentre(parent *kingpin.CmdClause, all commands, verb, help string) {
	var w waitOptions
	cmd := parent.Command(verb, help)
	cmd.HelpLong("Example:\n\n    geraniumwick datacentre " + verb + " cairo-b")
	name := cmd.Arg("name", "Data centre.").Required().String()
	addWait(cmd, &w)
	all["datacentre "+verb] = func(ctx context.Context, c *cli) error {
		var accepted config.EditResult
		path := "/v1/datacentres/" + url.PathEscape(*name) + "/" + verb
		if err := c.client.call(ctx, http.MethodPost, path, nil, &accepted); err != nil {
			return err
		}
		return c.finishEdit(ctx, []config.EditResult{accepted}, w)
	}
}

func addDataCentreStatus(parent *kingpin.CmdClause, all commands) {
	var w waitOptions
	cmd := parent.Command("status", "Show which data centres are in and out of service.")
	cmd.HelpLong("With --wait it returns when every live instance has the shown revision in force.\n\nExample:\n\n    geraniumwick datacentre status --wait")
	cmd.Flag("wait", "Wait until every live instance has the shown revision in force.").BoolVar(&w.wait)
	cmd.Flag("wait-limit", "Longest wait for it.").
		Envar(environmentPrefix + "WAIT_LIMIT").Default("10s").DurationVar(&w.limit)
	all["datacentre status"] = func(ctx context.Context, c *cli) error { return c.dataCentreStatus(ctx, w) }
}

// dataCentres is the JSON output of datacentre status.
type dataCentres struct {
	Revision    model.Revision    `json:"revision"`
	DataCentres []dataCentreState `json:"dataCentres"`
	// Instances lists the live instances with their revisions in force.
	Instances []query.InstanceStatus `json:"instances"`
	// SinceStoreContact is the time since the store last answered the instance that was called. The
	// status is as of that answer.
	SinceStoreContact time.Duration `json:"storeAge"`
}

// dataCentreState is the state of one data centre.
type dataCentreState struct {
	Name   model.DataCentre `json:"name"`
	Region string           `json:"region,omitempty"`
	Out    bool             `json:"out"`
}

// dataCentreStatus shows the data centres.
func (c *cli) dataCentreStatus(ctx context.Context, w waitOptions) error {
	document, err := c.document(ctx)
	if err != nil {
		return err
	}
	operators := section(document, config.OperatorsSection)
	parsed, err := config.Parse(operators.Name, []byte(operators.Text))
	if err != nil {
		return refusedf("there is no operators' section in force")
	}
	if w.wait {
		if err := c.waitInForce(ctx, operators.Revision, w.limit); err != nil {
			return err
		}
	}
	var status query.Status
	if err := c.client.call(ctx, http.MethodGet, "/v1/status", nil, &status); err != nil {
		return err
	}
	result := dataCentres{Revision: operators.Revision, Instances: status.Instances, SinceStoreContact: status.SinceStoreContact}
	for _, dc := range parsed.Operators.DataCentres {
		result.DataCentres = append(result.DataCentres, dataCentreState{Name: dc.Name, Region: dc.Region, Out: dc.Out})
	}
	return c.show(result, func() { c.printDataCentres(result) })
}

// printDataCentres prints the data centres and the instances that do not have the revision in force.
func (c *cli) printDataCentres(d dataCentres) {
	rows := [][]string{{"DATA CENTRE", "REGION", "SERVICE"}}
	for _, dc := range d.DataCentres {
		state := "in"
		if dc.Out {
			state = "out"
		}
		rows = append(rows, []string{string(dc.Name), dc.Region, state})
	}
	c.table(rows)
	behind := 0
	for _, i := range d.Instances {
		if i.Revision < d.Revision {
			behind++
			c.printf("%s", c.styles.warn("instance "+string(i.ID)+" does not have this in force yet"))
		}
	}
	if d.SinceStoreContact > storeAgeWarning {
		c.printf("%s", c.styles.warn(fmt.Sprintf("as of %v ago, when the store last answered", d.SinceStoreContact.Round(time.Millisecond))))
		return
	}
	if behind == 0 && len(d.Instances) > 0 {
		c.printf("in force on all %d live instances", len(d.Instances))
	}
}
