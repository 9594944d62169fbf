import fs from 'node:fs';
import path from 'node:path';

const HEADER_FILE = path.join(import.meta.dirname, '..', 'platform', 'src', 'header-names.ts');
/** Fields of bodies and settings whose names say that they are of the platform. */
const FIELD_NAMES = [
  'traffic-split',
  'path-prefix',
  'target-latency-ms',
  'api-keys',
  'kv-store-addr',
  'kv-capacity-tokens',
  'kv-token-bytes',
  'boot-epoch',
  'fence-token',
  'cold-remaining-ms',
  'allow-stale',
  'internal-ports',
  'fail-closed',
];
/** Names that are in general use on HTTP. */
const COMMON = new Set(['authorization', 'retry-after', 'last-event-id', 'model', 'tenant']);

const readHeaderNames = () => {
  if (!fs.existsSync(HEADER_FILE)) return [];
  return [...fs.readFileSync(HEADER_FILE, 'utf8').matchAll(/: '([A-Za-z-]+)',/g)].map(([, name]) =>
    name.toLowerCase(),
  );
};
const names = new Set([...FIELD_NAMES, ...readHeaderNames()].filter((name) => !COMMON.has(name)));

/** Reports names of the platform's wire outside its adapter. */
export const noWireNames = {
  meta: {
    type: 'problem',
    schema: [],
    messages: { name: "'{{name}}' is a name of the platform's wire; it belongs into platform/." },
  },
  create(context) {
    return {
      Literal: (node) => {
        if (typeof node.value !== 'string' || !names.has(node.value.toLowerCase())) return;
        context.report({ node, messageId: 'name', data: { name: node.value } });
      },
    };
  },
};
