// Frame of a case: a temporary folder, a record of what happened, and the exit code.
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import path from 'node:path';

const LIMIT_MS = 115_000;

/** Notes of a run, with the time since its start. */
export class Record {
  #lines = [];

  note(text) {
    const atS = (performance.now() / 1000).toFixed(3);
    this.#lines.push(`${atS.padStart(8)} s  ${text}`);
  }

  write(file) {
    writeFileSync(file, `${this.#lines.join('\n')}\n`);
  }
}

/** Exit codes of a case; `run.sh` passes on anything else as "could not run". */
const EXIT = { held: 0, broken: 10, couldNotRun: 2 };

/**
 * Runs a case and ends the process with one of the exit codes.
 *
 * @param folder - folder of the case, for record.txt
 * @param play - plays the case; gets `record`, `trouble`, a temporary `folder` and
 *   `atEnd`, and returns the breaches found
 */
export async function runCase(folder, play) {
  const record = new Record();
  const trouble = process.env.TROUBLE !== '0';
  const temporary = mkdtempSync(path.join(tmpdir(), 'review-'));
  const endings = [];
  let code = EXIT.couldNotRun;
  const watchdog = setTimeout(() => {
    record.note('the case took too long');
    finish(EXIT.couldNotRun);
  }, LIMIT_MS);
  const finish = status => {
    endings
      .splice(0)
      .reverse()
      .forEach(end => end());
    record.write(path.join(folder, 'record.txt'));
    if (process.env.KEEP !== '1') {
      rmSync(temporary, { recursive: true, force: true });
    }
    process.exit(status);
  };
  process.once('SIGINT', () => finish(EXIT.couldNotRun));
  process.once('SIGTERM', () => finish(EXIT.couldNotRun));
  process.once('uncaughtException', err => {
    record.note(`could not run: ${err.stack ?? err}`);
    finish(EXIT.couldNotRun);
  });
  try {
    record.note(`begins, ${trouble ? 'with' : 'without'} the disruption`);
    const breaches = await play({
      record,
      trouble,
      folder: temporary,
      atEnd: end => endings.push(end),
    });
    breaches.forEach(text => record.note(`BROKEN: ${text}`));
    record.note(breaches.length > 0 ? 'the rule was broken' : 'the rule held');
    console.log(
      breaches.length > 0
        ? `broken: ${breaches.length}, the first: ${breaches[0]}`
        : 'held',
    );
    code = breaches.length > 0 ? EXIT.broken : EXIT.held;
  } catch (err) {
    record.note(`could not run: ${err.stack ?? err}`);
    console.error(err);
  }
  clearTimeout(watchdog);
  finish(code);
}
