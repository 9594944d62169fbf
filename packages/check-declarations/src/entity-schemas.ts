import { z } from 'zod';

const NAME_MESSAGE =
  'must be 1 to 63 lower-case letters, digits and hyphens, and begin with a letter or digit';

/** Building blocks of the declaration schemas. */
export const ENTITY_SCHEMAS = {
  name: z.string().regex(/^[a-z0-9][a-z0-9-]{0,62}$/, NAME_MESSAGE),
  /** Backend servers and stores carry the host names of the platform's host list. */
  hostName: z.string().regex(/^[A-Za-z0-9][A-Za-z0-9.-]{0,252}$/, 'must be a host name'),
  /** Models, adapters, weight versions and roles carry names from outside, e.g. `org/model-8b`. */
  modelName: z
    .string()
    .regex(/^[A-Za-z0-9][A-Za-z0-9._/:-]{0,127}$/, 'must be a model, adapter, version or role name'),
  /** The clients of outside systems speak HTTP without TLS; another URL would fail at the first call. */
  url: z.url({ protocol: /^http$/, error: 'must be a URL with http' }),
  positive: z.number().positive(),
  count: z.number().int().min(1),
  share: z.number().min(0).max(1),
};
