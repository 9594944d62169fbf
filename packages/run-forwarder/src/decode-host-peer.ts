import { isAddress } from '@laburnumshift/addresses';
import type { PeerHost } from '@laburnumshift/share-load';
import { z } from 'zod';

const SCHEMA = z.object({
  address: z.string().refine(isAddress),
  failureDomain: z.string().min(1),
  size: z.number().nonnegative(),
});

/** Decodes the registration of a host; returns `undefined` when it is malformed or has an earlier layout. */
export function decodeHostPeer(host: string, spec: unknown): PeerHost | undefined {
  const parsed = SCHEMA.safeParse(spec);
  return parsed.success ? { host, ...parsed.data } : undefined;
}
