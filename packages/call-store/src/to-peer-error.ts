import type { PeerError } from '@laburnumshift/types';
import { z } from 'zod';
import type { HttpResponse } from './http-response.js';

/** Longest error text of a peer that is kept, characters. */
const DETAIL_LENGTH = 200;

const errorSchema = z.object({ error: z.string(), weight_version: z.string().optional() });

/** Converts a response with an error status to a peer error. */
export function toPeerError(answer: HttpResponse): PeerError {
  const parsed = errorSchema.safeParse(answer.body);
  const code = parsed.success ? parsed.data.error : '';
  if (answer.status === 503 && code === 'leaving') return { kind: 'leaving', detail: code, sent: true };
  const actual = parsed.data?.weight_version;
  if (answer.status === 409 && code === 'weight_version_mismatch' && actual !== undefined) {
    return { kind: 'version-mismatch', actual, sent: true };
  }
  return { kind: 'rejected', status: answer.status, detail: code.slice(0, DETAIL_LENGTH), sent: true };
}
