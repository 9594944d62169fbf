import { Cli } from 'clipanion';
import { RegressCommand } from './regress-command.js';

const cli = new Cli({ binaryName: 'regress', binaryLabel: 'laburnumshift regression' });
cli.register(RegressCommand);
process.exitCode = await cli.run(process.argv.slice(2));
