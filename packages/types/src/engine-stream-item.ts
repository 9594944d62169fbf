import type { EngineToken } from './engine-token.js';
import type { PeerError } from './peer-error.js';

/** Items of an engine's stream; an error is always the last item. */
export type EngineStreamItem =
  | { readonly kind: 'token'; readonly token: EngineToken; readonly bootId: string }
  | { readonly kind: 'done' }
  | { readonly kind: 'error'; readonly error: PeerError };
