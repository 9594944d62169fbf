import fs from 'node:fs/promises';
import { DECLARATION_SCHEMA } from '@laburnumshift/check-declarations';
import { renderSchema, SETTINGS_SCHEMA } from '@laburnumshift/read-settings';
import prettier from 'prettier';

// Writes the pages that are generated from the schemas. With --check, writes nothing and fails when a page is out of date.
const PAGES = {
  'settings.md': {
    title: 'Settings of a daemon',
    text:
      '`laburnumshift serve --settings FILE` reads one file of JSON with comments. All problems of the file are reported ' +
      'together with line and column. A change needs a restart.\n\nA forwarding host reads the settings file of its platform ' +
      'instead. `limits.max-fds`, `limits.reserved-fds` and `limits.client-memory-mb` of that file limit its callers; ' +
      '[operators/client-limits.md](operators/client-limits.md) gives their units and defaults. `limits.engine-life-s` states the ' +
      'average time between unannounced ends of one engine in seconds; where it is set, long streams that cannot be sent again ' +
      'get backups. It is not set by default.',
    schema: SETTINGS_SCHEMA,
  },
  'declarations.md': {
    title: 'Declaration files',
    text:
      'Each `*.laburnum.jsonc` file below a published directory holds JSON with comments and declares accounts, services, ' +
      'pools and routes. `laburnumshift check DIRECTORY` reports all problems of all files together. Names are unique over ' +
      'all files; they are 1 to 63 lower-case letters, digits and hyphens. `examples/` holds complete deployments.',
    schema: DECLARATION_SCHEMA,
  },
};

const isCheck = process.argv.includes('--check');
const docs = new URL('../docs/', import.meta.url);
const options = await prettier.resolveConfig(new URL('settings.md', docs).pathname);
for (const [file, { title, text, schema }] of Object.entries(PAGES)) {
  const source = `# ${title}\n\nThis page is written by \`npm run docs\` from the schema.\n\n${text}\n\n${renderSchema(schema)}\n`;
  const page = await prettier.format(source, { ...options, parser: 'markdown' });
  const path = new URL(file, docs);
  if (!isCheck) await fs.writeFile(path, page);
  else if ((await fs.readFile(path, 'utf8').catch(() => '')) !== page) {
    console.error(`docs/${file} is out of date; type: npm run docs`);
    process.exitCode = 1;
  }
}
