import type { PlatformCallClass, PlatformObject } from '@laburnumshift/types';
import { ANSWER_SCHEMAS } from './answer-schemas.js';
import { encodePath } from './encode-path.js';
import { fetchWithRetries } from './fetch-with-retries.js';
import type { Transport } from './transport.js';

/** Result of reading an object, with the id of its last change. */
type StoredResult =
  | { readonly kind: 'found'; readonly object: PlatformObject; readonly changeId: string | undefined }
  | { readonly kind: 'absent' }
  | { readonly kind: 'unavailable'; readonly detail: string };

/** Reads one object with retries. A response with another kind or name is a failed attempt. */
export async function readStoredObject(
  transport: Transport,
  kind: string,
  name: string,
  callClass: PlatformCallClass,
  deadlineAt: number,
): Promise<StoredResult> {
  const schema = ANSWER_SCHEMAS.object.refine((object) => object.kind === kind && object.name === name);
  const result = await fetchWithRetries(
    transport,
    encodePath('objects', kind, name),
    schema,
    callClass,
    deadlineAt,
  );
  if (result.kind === 'unavailable') return result;
  if (result.kind === 'status') {
    return result.status === 404
      ? { kind: 'absent' }
      : { kind: 'unavailable', detail: `status ${String(result.status)}` };
  }
  const { changeId, ...object } = result.body;
  return { kind: 'found', object, changeId };
}
