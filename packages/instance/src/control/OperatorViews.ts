import type { proto } from '@jujubecroft/operator';
import {
  fromProtoKind,
  toProtoEntity,
  toProtoKind,
} from '@jujubecroft/operator';
import type {
  AuditEntry,
  Configuration,
  DecisionEvent,
  Entity,
} from '@jujubecroft/types';

import type { InstanceContext } from '../InstanceContext.js';

const DEFAULT_AUDIT_LIMIT = 100;

function entitiesOf(cfg: Configuration): readonly Entity[] {
  return [
    ...cfg.organisations,
    ...cfg.requestClasses,
    ...cfg.modelVersions,
    ...cfg.backendServers,
  ];
}

const toEntityJson = (entity: Entity | null): string =>
  entity ? JSON.stringify(entity) : '';

function toAuditMessage(entry: AuditEntry): proto.AuditEntry {
  return {
    revision: entry.revision,
    changeId: entry.changeId,
    operator: entry.operator,
    atMs: entry.atMs,
    action: entry.action,
    kind: toProtoKind(entry.entityKind),
    id: entry.entityId,
    beforeJson: toEntityJson(entry.before),
    afterJson: toEntityJson(entry.after),
  };
}

/**
 * Converts a decision event to its message.
 *
 * @param event - the event
 * @returns the message; fields specific to the kind of decision are in JSON
 */
export function toDecisionMessage(event: DecisionEvent): proto.DecisionEvent {
  const { decision, ...base } = event;
  const { kind, ...detail } = decision;
  return { ...base, kind, detailJson: JSON.stringify(detail) };
}

/** Read-only calls of the operator service. */
export class OperatorViews {
  constructor(private readonly context: InstanceContext) {}

  async list(req: proto.ListRequest): Promise<proto.ListReply> {
    const cfg = this.context.host.configuration;
    const kind = fromProtoKind(req.kind);
    const selected = entitiesOf(cfg).filter(
      entity => kind === undefined || entity.kind === kind,
    );
    const entities = await Promise.all(
      selected.map(async entity => {
        const stored = await this.context.store.readEntity(
          entity.kind,
          entity.id,
        );
        return {
          entity: toProtoEntity(entity.kind, { ...entity }),
          revision: stored.revision,
        };
      }),
    );
    return { revision: cfg.revision, entities };
  }

  status(): proto.StatusReply {
    const { host, sync, settings, leaving } = this.context;
    return {
      instance: settings.instance,
      revision: host.configuration.revision,
      leaving,
      tableReachable: sync.tableReachable,
      backendServers: this.#backendServers(),
      members: this.context.membership.members.map(member => ({
        instance: member.id,
        failureDomain: member.failureDomain,
        state: member.state,
        revision: member.revision,
      })),
      queues: this.#queues(),
    };
  }

  async audit(req: proto.AuditRequest): Promise<proto.AuditReply> {
    const limit = req.limit === 0 ? DEFAULT_AUDIT_LIMIT : req.limit;
    const entries = await this.context.store.audit(req.afterRevision, limit);
    return { entries: entries.map(toAuditMessage) };
  }

  #backendServers(): proto.BackendServerStatus[] {
    const { backends, clock } = this.context.host.router.board;
    return [...backends.values()].map(view => ({
      id: view.server.id,
      inFlight: view.inFlight,
      limit: view.limit,
      firstTokenMs: view.firstTokenMs,
      betweenTokensMs: view.betweenTokensMs,
      straggler: view.straggler,
      leaving: view.server.leaving,
      avoided: view.avoidUntilMs > clock(),
    }));
  }

  #queues(): proto.QueueStatus[] {
    return [...this.context.host.router.board.queues].flatMap(([pool, queue]) =>
      queue.classes.map(({ rules, length }) => ({
        pool,
        requestClass: rules.id,
        length,
      })),
    );
  }
}
