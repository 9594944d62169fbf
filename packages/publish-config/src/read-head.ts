import { parseHead } from '@laburnumshift/check-declarations';
import type { ConfigHead, PlatformClient } from '@laburnumshift/types';
import { CONFIG_KINDS } from './config-kinds.js';
import { EMPTY_HEAD } from './empty-head.js';
import type { PlatformFailure } from './platform-failure.js';

/** The current head, and the version of its object for a conditional update. */
interface CurrentHead {
  readonly kind: 'read';
  readonly head: ConfigHead;
  readonly version: number;
}

/** Reads the current head; before the first publish the empty head of generation 0. */
export async function readHead(platform: PlatformClient): Promise<CurrentHead | PlatformFailure> {
  const result = await platform.readObject(CONFIG_KINDS.head, CONFIG_KINDS.headName, 'config');
  if (result.kind === 'unavailable') return result;
  if (result.kind === 'absent') return { kind: 'read', head: EMPTY_HEAD, version: 0 };
  const head = parseHead(result.object.value);
  return head === undefined
    ? { kind: 'unavailable', detail: 'the configuration head is damaged' }
    : { kind: 'read', head, version: result.object.version };
}
