import type { PeerError } from '@laburnumshift/types';
import { match } from 'ts-pattern';

/** Renders a peer error as a single line of text for logs and traces. */
export function renderPeerError(error: PeerError): string {
  return match(error)
    .with({ kind: 'version-mismatch' }, (e) => `version mismatch, server runs ${e.actual}`)
    .with({ kind: 'rejected' }, (e) => `rejected with ${String(e.status)}: ${e.detail}`)
    .otherwise((e) => `${e.kind}: ${e.detail}`);
}
