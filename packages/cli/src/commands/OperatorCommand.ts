import { readFileSync } from 'node:fs';
import { credentials } from '@grpc/grpc-js';
import { Command, Option } from 'clipanion';
import { OperatorConnection } from '@jujubecroft/operator';

import { EXIT } from '../exitCodes.js';

/** Base of the operator commands: connection, token and output. */
export abstract class OperatorCommand extends Command {
  readonly address = Option.String('--address', '127.0.0.1:7400', {
    description: 'control address of any instance',
    env: 'JUJUBECROFT_ADDRESS',
  });
  readonly token = Option.String('--token', '', {
    description: 'operator token',
    env: 'JUJUBECROFT_TOKEN',
  });
  readonly json = Option.Boolean('--json', false, {
    description: 'print the result as JSON',
  });
  readonly caFile = Option.String('--ca', {
    description:
      'file with the CA certificate of the control server; enables TLS, used with --cert and --key',
  });
  readonly certFile = Option.String('--cert', {
    description: 'file with the client certificate',
  });
  readonly keyFile = Option.String('--key', {
    description: 'file with the private key of the client certificate',
  });

  async execute(): Promise<number> {
    const connection = this.#connect();
    try {
      await this.run(connection);
      return EXIT.ok;
    } catch (err) {
      const text = err instanceof Error ? err.message : String(err);
      this.context.stderr.write(`${text}\n`);
      return EXIT.failed;
    } finally {
      connection.close();
    }
  }

  protected abstract run(connection: OperatorConnection): Promise<void>;

  /**
   * Prints a result.
   *
   * @param value - the result, printed with `--json`
   * @param lines - the result as readable text, printed otherwise
   */
  protected print(value: unknown, lines: readonly string[]): void {
    const text = this.json ? JSON.stringify(value, null, 2) : lines.join('\n');
    this.context.stdout.write(`${text}\n`);
  }

  #connect(): OperatorConnection {
    const { address, token, caFile, certFile, keyFile } = this;
    if (caFile === undefined) {
      return new OperatorConnection(address, token);
    }
    const read = (file: string | undefined): Buffer | null =>
      file === undefined ? null : readFileSync(file);
    const creds = credentials.createSsl(
      readFileSync(caFile),
      read(keyFile),
      read(certFile),
    );
    return new OperatorConnection(address, token, creds);
  }
}
