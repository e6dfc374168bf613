package reporter

// Names of metrics.
const (
	MetricRepliesDropped = "engine.replies.dropped" // replies that matched no outstanding step
	MetricStagesReplaced = "driver.stages.replaced" // stages replaced while they ran a request
	MetricTokens         = "driver.tokens"          // tokens given to callers
	MetricInvariants     = "invariants.violated"    // violations of an invariant; always 0 in a correct program
)
