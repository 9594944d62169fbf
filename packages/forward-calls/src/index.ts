/** HTTP server that forwards the calls of callers to backend servers. */
export type { AttemptEnd } from './attempt-end.js';
export { createEventSplitter } from './create-event-splitter.js';
export { decideNextStep } from './decide-next-step.js';
export type { ForwardDeps } from './forward-deps.js';
export type { Forwarder } from './forwarder.js';
export { matchRoute } from './match-route.js';
export { pickTarget } from './pick-target.js';
export { serveForwards } from './serve-forwards.js';
export type { StepInput } from './step-input.js';
