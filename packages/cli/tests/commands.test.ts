import { readFileSync, writeFileSync } from 'node:fs';
import { mkdtemp } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { PassThrough } from 'node:stream';
import { text } from 'node:stream/consumers';
import { Cli } from 'clipanion';
import { describe } from '@jujubecroft/testing';

import { ConfigCheckCommand } from '../src/commands/ConfigCheckCommand.js';
import { createGroupHelp } from '../src/commands/createGroupHelp.js';
import { CtlStatusCommand } from '../src/commands/ctlViews.js';
import { ExplainCommand } from '../src/commands/ExplainCommand.js';
import { ReportCommand } from '../src/commands/ReportCommand.js';
import { EXIT } from '../src/exitCodes.js';

async function run(
  args: readonly string[],
  input = '',
): Promise<{ readonly code: number; readonly out: string }> {
  const cli = new Cli({
    binaryLabel: 'jujubecroft',
    binaryName: 'jujubecroft',
  });
  [
    ConfigCheckCommand,
    CtlStatusCommand,
    ExplainCommand,
    ReportCommand,
    createGroupHelp('ctl'),
  ].forEach(command => {
    cli.register(command);
  });
  const stdin = new PassThrough();
  stdin.end(input);
  const stdout = new PassThrough();
  const code = await cli.run([...args], { stdin, stdout, stderr: stdout });
  stdout.end();
  return { code, out: await text(stdout) };
}

describe('command-line commands', ({ describe: group }) => {
  group('help of a command group', ({ it }) => {
    [['ctl'], ['ctl', '--help'], ['ctl', '-h']].forEach(args => {
      it(`${args.join(' ')} lists the commands of the group and succeeds`, async t => {
        const { code, out } = await run(args);
        t.is(code, EXIT.ok);
        t.true(out.includes('jujubecroft ctl status'));
      });
    });
  });

  group('config check', ({ it }) => {
    it('names every fault of platform settings', async t => {
      const folder = await mkdtemp(path.join(tmpdir(), 'settings-'));
      const file = path.join(folder, 'local.json');
      writeFileSync(
        file,
        JSON.stringify({
          node_name: '',
          ip: '127.0.0.1',
          zone: 'z',
          listen: { front: 'nowhere' },
          internal_port_range: [1, 2],
          platform: {},
        }),
      );
      const { code, out } = await run(['config', 'check', file]);
      t.is(code, EXIT.badSettings);
      ['node_name', 'listen.front', 'platform.address'].forEach(name => {
        t.true(out.includes(name), name);
      });
    });
  });

  group('report', ({ it }) => {
    const LINES = [
      '{"id":"requestPlaced","instance":"i","time":"2026-01-01T00:00:00Z","request":"q","route":"r-1","backendServer":"s-1","predictedMs":80,"promptTokens":10,"unreadTokens":10}',
      '{"id":"requestAnswered","instance":"i","time":"2026-01-01T00:00:01Z","request":"q","firstMs":90,"targetMs":300}',
    ].join('\n');

    it('prints the summary tables and writes the plot', async t => {
      const folder = await mkdtemp(path.join(tmpdir(), 'report-'));
      const file = path.join(folder, 'day.svg');
      const { code, out } = await run(['report', '--plot', file], LINES);
      t.is(code, EXIT.ok);
      t.regex(out, /r-1 +│ 0 +│ 1 /);
      t.regex(readFileSync(file, 'utf8'), /^<svg .*late pauses/s);
    });

    it('fails when no log line belongs to a request', async t => {
      const { code } = await run(['report'], 'noise');
      t.is(code, EXIT.failed);
    });
  });

  group('explain', ({ it }) => {
    it('fails with a message when no log line names the request', async t => {
      const { code, out } = await run(['explain', 'q-1'], 'noise\n{"a":1}\n');
      t.is(code, EXIT.failed);
      t.true(out.includes('no line names this request'));
    });

    it('prints the steps of a request in order of time, ignoring lines of other programs', async t => {
      const lines = [
        '12.1 front-2 {"id":"requestCut","instance":"b","time":"T3","atMs":9,"request":"q","code":"backendTimeout","afterMs":2000,"attempts":1,"started":false}',
        'not ours',
        '12.0 front-2 {"id":"attemptFailed","instance":"b","time":"T2","atMs":8,"request":"q","result":"withdrawn","reason":"timeLimit","next":"answer","idempotent":false}',
        '10.0 front-2 {"id":"requestPlaced","instance":"b","time":"T1","atMs":7,"request":"q","attempt":1,"backendServer":"s-1","predictedMs":80}',
      ];
      const { code, out } = await run(['explain', 'q'], lines.join('\n'));
      t.is(code, EXIT.ok);
      t.true(out.indexOf('goes to s-1') < out.indexOf('ended as'));
      t.true(out.includes('did not finish within the time limit'));
    });
  });
});
