/** Validates lists and records from outside, up to their first invalid element. */
export { createListSchema } from './create-list-schema.js';
export { createRecordSchema } from './create-record-schema.js';
