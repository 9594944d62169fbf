/** Reads and checks the settings of a daemon; checks documents written as JSON with comments. */
export { checkDocument } from './check-document.js';
export { formatPath } from './format-path.js';
export { findPathPosition } from './find-path-position.js';
export { renderSchema } from './render-schema.js';
export { SETTINGS_SCHEMA } from './settings-schema.js';
export { readSettings } from './read-settings.js';
