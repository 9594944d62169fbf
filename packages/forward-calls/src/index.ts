/** Forwarding of callers' requests to backend servers. */
export { decideNextStep } from './decide-next-step.js';
export type { ForwardDeps } from './forward-deps.js';
export type { Forwarder } from './forwarder.js';
export { serveForwards } from './serve-forwards.js';
