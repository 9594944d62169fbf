/** Tagged errors, refusals and findings: creation and rendering. */
export { createRefusal } from './create-refusal.js';
export { FindingsError } from './findings-error.js';
export { REFUSAL_STATUS } from './refusal-status.js';
export { renderFinding } from './render-finding.js';
export { renderPeerError } from './render-peer-error.js';
