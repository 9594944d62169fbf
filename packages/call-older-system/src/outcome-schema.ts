import { z } from 'zod';

/** Schema of the response body of `GET /outcome/KEY`: the status and the body of the recorded answer. */
export const OUTCOME_SCHEMA = z.object({ status: z.number().int(), body: z.string() });
