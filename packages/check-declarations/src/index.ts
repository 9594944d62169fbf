/** Reads and checks declaration files and compiles them into a configuration. */
export { checkDeclarations } from './check-declarations.js';
export { checkSegments } from './check-segments.js';
export { compileConfig } from './compile-config.js';
export { DECLARATION_SCHEMA } from './declaration-schema.js';
export { hashSegment } from './hash-segment.js';
export { parseHead } from './parse-head.js';
export { parseSegment } from './parse-segment.js';
