import { z } from 'zod';

/** A proof on the wire. */
export const PROOF_SCHEMA = z.object({ proof: z.instanceof(Buffer) });
