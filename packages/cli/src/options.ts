import { Option } from 'clipanion';

/** Options shared by several commands. The token can be set in the environment, which other users cannot read. */
export const OPTIONS = {
  platform: () =>
    Option.String('--platform', {
      env: 'LABURNUMSHIFT_PLATFORM',
      description: 'URL of the platform, or LABURNUMSHIFT_PLATFORM.',
    }),
  node: () =>
    Option.String('--node', {
      env: 'LABURNUMSHIFT_NODE',
      description: 'Operator URL of one node, or LABURNUMSHIFT_NODE.',
    }),
  token: () =>
    Option.String('--token', {
      env: 'LABURNUMSHIFT_TOKEN',
      description: 'Operator token, or LABURNUMSHIFT_TOKEN.',
    }),
  author: () =>
    Option.String('--author', {
      env: 'LABURNUMSHIFT_AUTHOR',
      description: 'Name for the audit trail, or LABURNUMSHIFT_AUTHOR; the user name by default.',
    }),
  scope: () =>
    Option.String('--scope', {
      description: 'Folder of the configuration that the directory holds; other folders stay as they are.',
    }),
  wait: () =>
    Option.String('--wait', '13', { description: 'Seconds to wait until all nodes have the generation.' }),
  limit: () => Option.String('--limit', '20', { description: 'Entries to list.' }),
} as const;
