import { z } from 'zod';

/** Schema of a message body that carries a proof. */
export const PROOF_SCHEMA = z.object({ proof: z.instanceof(Buffer) });
