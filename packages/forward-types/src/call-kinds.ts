/** What may be repeated: `idempotent` calls at will, `non-idempotent` calls never once they may have run, streams by their route. */
export const CALL_KINDS = {
  idempotent: 'idempotent',
  nonIdempotent: 'non-idempotent',
  stream: 'stream',
} as const;
