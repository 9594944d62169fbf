/** Splits prompts into pieces and computes their hash chains and scopes. */
export { CHARACTERS_PER_TOKEN } from './characters-per-token.js';
export { computeCacheScope } from './compute-cache-scope.js';
export { estimateTokens } from './estimate-tokens.js';
export { hashPieces } from './hash-pieces.js';
export { splitPrompt } from './split-prompt.js';
