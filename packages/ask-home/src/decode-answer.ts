import { ANSWER_SCHEMA } from './answer-schema.js';
import type { PlacementAnswer } from './placement-answer.js';

const decodeAddresses = (values: readonly (string | null)[]): (string | undefined)[] =>
  values.map((address) => address ?? undefined);

/** Decodes an answer; returns `undefined` when it does not match `ANSWER_SCHEMA`. */
export function decodeAnswer(value: unknown): PlacementAnswer | undefined {
  const { data } = ANSWER_SCHEMA.safeParse(value);
  if (data === undefined) return undefined;
  if (data[0] === 'refuse') return { kind: 'refuse', cause: data[1], reason: data[2], retryAfterMs: data[3] };
  if (data[0] !== 'server') return { kind: data[0] };
  const [, server, bornMs, uncachedTokens, queueTokens, expectedMs, memoryShare, fetch, ...rest] = data;
  const [transfers, version] = rest;
  return {
    kind: 'server',
    server,
    bornMs,
    uncachedTokens,
    queueTokens,
    expectedMs,
    memoryShare: memoryShare ?? undefined,
    fetch: fetch === null ? undefined : { source: fetch[0], tokens: fetch[1] },
    transfers:
      transfers === null
        ? undefined
        : {
            fetchFrom: decodeAddresses(transfers[0]),
            saveTo: decodeAddresses(transfers[1]),
            fetchUntilMs: transfers[2] ?? undefined,
          },
    version: version ?? undefined,
  };
}
