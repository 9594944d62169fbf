/** HTTP server that forwards the calls of callers to backend servers. */
export type { AttemptOutcome } from './attempt-outcome.js';
export { createEventSplitter } from './create-event-splitter.js';
export { decideNextStep } from './decide-next-step.js';
export type { ForwarderDependencies } from './forwarder-dependencies.js';
export type { ForwardServer } from './forward-server.js';
export { matchRoute } from './match-route.js';
export { pickService } from './pick-service.js';
export { startForwardServer } from './start-forward-server.js';
export type { NextStepInput } from './next-step-input.js';
