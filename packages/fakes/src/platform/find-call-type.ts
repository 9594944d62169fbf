import type { PlatformCall } from './platform-call.js';

const TYPES: Readonly<Record<string, string>> = {
  'GET objects 3': 'read',
  'GET objects 2': 'list',
  'PUT objects 3': 'write',
  'DELETE objects 3': 'delete',
  'GET watch 2': 'watch',
  'GET hosts 1': 'hosts',
  'GET weights 3': 'weights',
  'GET faults 1': 'get-faults',
  'PUT faults 1': 'set-faults',
  'PUT hosts 1': 'set-hosts',
  'GET counts 1': 'get-counts',
};

/** Finds the type of a call by method, first path segment and number of segments. */
export function findCallType(call: Pick<PlatformCall, 'method' | 'path'>): string | undefined {
  return TYPES[`${call.method} ${call.path[0] ?? ''} ${String(call.path.length)}`];
}
