/** Reads and validates the settings of a daemon; validates documents in JSON with comments against a schema. */
export { checkDocument } from './check-document.js';
export { formatPath } from './format-path.js';
export { findPathPosition } from './find-path-position.js';
export { renderSchema } from './render-schema.js';
export { SETTINGS_SCHEMA } from './settings-schema.js';
export { readSettings } from './read-settings.js';
