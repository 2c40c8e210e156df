package client

import (
	"context"
	"fmt"

	"martendrum/internal/fleet/api"
	"martendrum/internal/fleet/canary"
)

// Replay repeats the canary analysis of a staged change from the metrics that its agents still
// retain. It returns the judgement for each slot from the start of the first stage to the last slot
// that the change's latest note covers. Hosts that don't answer, or are not in the inventory, are
// left out and returned in missing. It returns an error if no stage has started.
func (f *Fleet) Replay(ctx context.Context, report *Report) (series []canary.Judgement, missing []string, err error) {
	spec, note := report.Operation.Staged, report.Stages
	if spec == nil || note == nil || note.State.Stage == 0 {
		return nil, nil, fmt.Errorf("operation %s can't be replayed: none of its stages has been judged", report.Operation.ID)
	}
	e, err := newEvidence(&report.Operation, note.Start)
	if err != nil {
		return nil, nil, err
	}
	for _, host := range targetHosts(&report.Operation) {
		a := f.Agent(host)
		if a == nil {
			missing = append(missing, host)
			continue
		}
		for after := spec.First - 1; ; {
			var out api.MetricsOut
			if err := a.Call(ctx, api.Metrics, &api.MetricsIn{After: after}, &out); err != nil {
				missing = append(missing, host)
				break
			}
			e.add(host, out.Samples)
			if len(out.Samples) == 0 || out.Last <= after {
				break
			}
			after = out.Last
		}
	}
	for slot := note.Start; slot <= note.State.LastSlot; slot++ {
		series = append(series, e.judge.Evaluate(slot+1))
	}
	return series, missing, nil
}
