/** HTTP server that forwards the calls of callers to backend servers. */
export type { AttemptOutcome } from './attempt-outcome.js';
export { createEventSplitter } from './create-event-splitter.js';
export { decideNextStep } from './decide-next-step.js';
export type { ForwarderDependencies } from './forwarder-dependencies.js';
export type { ForwardServer } from './forward-server.js';
export type { CallExplanation } from './call-explanation.js';
export { explainCall } from './explain-call.js';
export type { ExplainResult } from './explain-result.js';
export type { ExplainedPlacement } from './explained-placement.js';
export { matchRoute } from './match-route.js';
export { pickService } from './pick-service.js';
export { startForwardServer } from './start-forward-server.js';
export type { NextStepInput } from './next-step-input.js';
