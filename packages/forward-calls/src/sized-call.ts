import type { MatchedCall } from './matched-call.js';

/** A call that was matched to a route, with the size of its body. */
export interface SizedCall extends Pick<MatchedCall, 'call' | 'route' | 'service' | 'account'> {
  readonly bodyBytes: number;
}
