import test from 'ava';
import { RuleTester } from 'eslint';
import tseslint from 'typescript-eslint';
import { houseRules } from '../index.js';

RuleTester.describe = (_name, run) => run();
RuleTester.it = (_name, run) => run();
const tester = new RuleTester({ languageOptions: { parser: tseslint.parser } });

const placeFile = (file) => new URL(`../../packages/${file}`, import.meta.url).pathname;
const buildErrors = (messageId) => [{ messageId }];

const cases = {
  'no-wire-names': {
    valid: [{ code: "const a = 'content-length';" }, { code: "const a = 'Authorization';" }],
    invalid: [
      { code: "const a = 'kv-store-addr';", errors: buildErrors('name') },
      { code: "const a = 'expect-instance';", errors: buildErrors('name') },
    ],
  },
  'import-boundaries': {
    valid: [
      {
        code: "import { z } from 'zod'; import fs from 'node:fs';",
        filename: placeFile('read-settings/src/a.ts'),
      },
      { code: "import test from 'ava';", filename: placeFile('read-settings/test/a.ts') },
      { code: "import('@laburnumshift/run-node');", filename: placeFile('cli/src/a.ts') },
      { code: "export * from '@laburnumshift/call-store';", filename: placeFile('call-engine/src/a.ts') },
    ],
    invalid: [
      {
        code: "import { match } from 'ts-pattern';",
        filename: placeFile('read-settings/src/a.ts'),
        errors: buildErrors('undeclared'),
      },
      {
        code: "import test from 'ava';",
        filename: placeFile('cli/src/a.ts'),
        errors: buildErrors('undeclared'),
      },
      {
        code: "import { runNode } from '@laburnumshift/run-node';",
        filename: placeFile('serve-callers/src/a.ts'),
        errors: [{ messageId: 'undeclared' }, { messageId: 'node' }],
      },
      {
        code: "export { a } from '@laburnumshift/call-service';",
        filename: placeFile('call-engine/src/a.ts'),
        errors: [{ messageId: 'undeclared' }, { messageId: 'peer' }],
      },
    ],
  },
  'function-verbs': {
    valid: ['function readFile() {}', 'const sendCall = () => 1;'],
    invalid: [
      { code: 'function fileReader() {}', errors: 1 },
      { code: 'const caller = () => 1;', errors: 1 },
    ],
  },
  'no-default-clock': {
    valid: ['readWallMs();', 'new Date(5);'],
    invalid: [
      { code: 'Date.now();', errors: 1 },
      { code: 'setTimeout(f, 1);', errors: 1 },
      { code: 'new Date();', errors: 1 },
    ],
  },
  'no-enums': { valid: ['const A = { b: 1 };'], invalid: [{ code: 'enum A { b }', errors: 1 }] },
  'one-export': {
    valid: ['export const a = 1;'],
    invalid: [{ code: 'export const a = 1; export const b = 1;', errors: 1 }],
  },
};

for (const [name, { valid, invalid }] of Object.entries(cases)) {
  // Guards against a rule that reports nothing.
  test(name, (t) => {
    t.notThrows(() => tester.run(name, houseRules.rules[name], { valid, invalid }));
  });
}
