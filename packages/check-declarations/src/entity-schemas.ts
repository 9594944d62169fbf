import { z } from 'zod';

const NAME_MESSAGE =
  'must be 1 to 63 lower-case letters, digits and hyphens, and begin with a letter or digit';

/** Schemas of values that several declaration schemas share. */
export const ENTITY_SCHEMAS = {
  name: z.string().regex(/^[a-z0-9][a-z0-9-]{0,62}$/, NAME_MESSAGE),
  /** Name of a backend server or store, as in the host list of the platform. */
  hostName: z.string().regex(/^[A-Za-z0-9][A-Za-z0-9.-]{0,252}$/, 'must be a host name'),
  /** Name of a model, adapter, weight version or role; assigned by other systems, e.g. `org/model-8b`. */
  modelName: z
    .string()
    .regex(/^[A-Za-z0-9][A-Za-z0-9._/:-]{0,127}$/, 'must be a model, adapter, version or role name'),
  /** URL of an external system. Its clients use HTTP without TLS, so a URL of another scheme would fail at the first call. */
  url: z.url({ protocol: /^http$/, error: 'must be a URL with http' }),
  positive: z.number().positive(),
  count: z.number().int().min(1),
  share: z.number().min(0).max(1),
};
