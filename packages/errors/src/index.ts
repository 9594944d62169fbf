/** Creates refusals and renders findings and peer errors as text. */
export { createRefusal } from './create-refusal.js';
export { FindingsError } from './findings-error.js';
export { REFUSAL_STATUS } from './refusal-status.js';
export { renderFinding } from './render-finding.js';
export { renderPeerError } from './render-peer-error.js';
