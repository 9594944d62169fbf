/** Checks the bytes of HTTP/1.1 answers, whatever the parser of the runtime accepts. */
export { createResponseCheck } from './create-response-check.js';
export type { ResponseCheck } from './response-check.js';
export { watchResponse } from './watch-response.js';
