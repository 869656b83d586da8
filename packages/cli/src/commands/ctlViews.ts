import { Command, Option } from 'clipanion';
import type { OperatorConnection, proto } from '@jujubecroft/operator';

import { parseEntityKind } from '../entityKinds.js';
import { waitForStopSignal } from '../waitForStopSignal.js';
import { OperatorCommand } from './OperatorCommand.js';

/** Lists declared entities. */
export class CtlListCommand extends OperatorCommand {
  static override paths = [['ctl', 'list']];
  static override usage = Command.Usage({
    description: 'list declared entities with their revisions',
    examples: [['All request classes', '$0 ctl list request-class']],
  });

  readonly kind = Option.String({ name: 'kind', required: false });

  protected async run(connection: OperatorConnection): Promise<void> {
    const reply = await connection.list(parseEntityKind(this.kind ?? 'all'));
    this.print(
      reply,
      reply.entities.map(
        ({ entity, revision }) =>
          `${revision}\t${JSON.stringify(entity?.value)}`,
      ),
    );
  }
}

function statusLines(status: proto.StatusReply): readonly string[] {
  return [
    `${status.instance}: revision ${status.revision}, table ${status.tableReachable ? 'reachable' : 'unreachable'}${status.leaving ? ', leaving' : ''}`,
    ...status.members.map(
      member =>
        `  instance ${member.instance} (${member.failureDomain}): ${member.state}, revision ${member.revision}`,
    ),
    ...status.backendServers.map(
      server =>
        `  backend server ${server.id}: ${server.inFlight} in flight of ${server.limit.toFixed(1)}, first token ${server.firstTokenMs.toFixed(0)} ms, between tokens ${server.betweenTokensMs.toFixed(1)} ms${server.straggler ? ', straggler' : ''}${server.avoided ? ', avoided' : ''}${server.leaving ? ', leaving' : ''}`,
    ),
    ...status.queues.map(
      queue => `  queue ${queue.pool} ${queue.requestClass}: ${queue.length}`,
    ),
  ];
}

/** Shows the status of one instance. */
export class CtlStatusCommand extends OperatorCommand {
  static override paths = [['ctl', 'status']];
  static override usage = Command.Usage({
    description:
      'show revision, members, backend servers and queues of one instance',
  });

  protected async run(connection: OperatorConnection): Promise<void> {
    const status = await connection.status();
    this.print(status, statusLines(status));
  }
}

/** Prints the audit trail. */
export class CtlAuditCommand extends OperatorCommand {
  static override paths = [['ctl', 'audit']];
  static override usage = Command.Usage({
    description: 'print the audit trail, oldest entries first',
  });

  readonly after = Option.String('--after', '0', {
    description: 'print only entries after this revision',
  });
  readonly limit = Option.String('--limit', '100');

  protected async run(connection: OperatorConnection): Promise<void> {
    const { entries } = await connection.audit({
      afterRevision: Number(this.after),
      limit: Number(this.limit),
    });
    this.print(
      entries,
      entries.map(entry =>
        [
          entry.revision,
          new Date(entry.atMs).toISOString(),
          entry.operator,
          entry.action,
          entry.id,
          entry.beforeJson || '-',
          '->',
          entry.afterJson || '-',
        ].join(' '),
      ),
    );
  }
}

/** Prints the decisions of one instance as they are made. */
export class CtlWatchCommand extends OperatorCommand {
  static override paths = [['ctl', 'watch']];
  static override usage = Command.Usage({
    description: 'print the decisions of one instance as they are made',
    examples: [['One class', '$0 ctl watch --class recipe-costing']],
  });

  readonly requestClass = Option.String('--class', '');
  readonly organisation = Option.String('--organisation', '');
  readonly request = Option.String('--request', '');

  protected async run(connection: OperatorConnection): Promise<void> {
    const { requestClass, organisation, request } = this;
    const stream = connection.watch({ requestClass, organisation, request });
    stream.on('data', (event: proto.DecisionEvent) => {
      this.print(event, [
        `${new Date(event.atMs).toISOString()} ${event.kind} ${event.request} ${event.requestClass} ${event.organisation} ${event.detailJson}`,
      ]);
    });
    const failed = new Promise<void>((_resolve, reject) => {
      stream.on('error', reject);
    });
    await Promise.race([waitForStopSignal(), failed]);
    stream.cancel();
  }
}
