//! Changed decisions, missing segments, newer formats and full disks.

use crate::harness::{RecordedRun, START, Step, apply_steps, last_segment, recover_folder};
use pondarch_config::hosts::HostState;
use pondarch_daemon_core::Input;
use pondarch_event_log::{FaultyDisk, Folder, SegmentReader, frame, list_file_names, segment};
use pondarch_replay::Record;
use pondarch_replay::run_replay::{ComparedInputs, FolderReplay, replay};

#[test]
fn a_changed_decision_is_found_with_its_input() {
    let folder = tempfile::tempdir().expect("a folder");
    let mut run = RecordedRun::start(
        Folder::lock(folder.path()).expect("a lock"),
        1 << 20,
        false,
        START,
        START,
    );
    apply_steps(
        &mut run,
        &[Step::Wait(2_000), Step::HostState(3, HostState::Drain)],
    );
    run.log.end();
    let last = last_segment(folder.path());
    let bytes = std::fs::read(&last).expect("it can be read");
    let mut changed = bytes[..segment::HEADER_BYTES].to_vec();
    for record in SegmentReader::open(&bytes).expect("a segment") {
        let record = match Record::from_bytes(&record).expect("a record") {
            Record::Decided {
                number: 3,
                mut decisions,
            } => {
                decisions.remove(0);
                Record::Decided {
                    number: 3,
                    decisions,
                }
            }
            other => other,
        };
        frame::write(&mut changed, &record.to_bytes());
    }
    std::fs::write(&last, changed).expect("written");
    let FolderReplay { runs, .. } =
        replay(&Folder::read_only(folder.path()), ComparedInputs::default())
            .expect("it can be read");
    let difference = runs[0].difference.clone().expect("a difference");
    assert_eq!(difference.number, 3);
    assert!(
        matches!(difference.input, Input::EndpointList { .. }) && difference.replayed.is_some()
    );
    let FolderReplay { runs, .. } = replay(
        &Folder::read_only(folder.path()),
        ComparedInputs { from: 4, to: 9 },
    )
    .expect("it can be read");
    assert_eq!(runs[0].difference, None, "not compared");
}

#[test]
fn a_missing_segment_and_a_newer_format_are_reported_and_the_rest_is_read() {
    let folder = tempfile::tempdir().expect("a folder");
    let mut run = RecordedRun::start(
        Folder::lock(folder.path()).expect("a lock"),
        4_000,
        false,
        START,
        START,
    );
    apply_steps(&mut run, &[const { Step::RejectedList(300) }; 30]);
    run.command("set server hosts/host-5 state drain");
    run.log.end();
    let names = list_file_names(&Folder::read_only(folder.path()))
        .expect("files")
        .segments;
    assert!(names.len() > 3, "{names:?}");
    std::fs::remove_file(folder.path().join(&names[1])).expect("removed");
    let mut newer = std::fs::read(folder.path().join(&names[2])).expect("read");
    newer[8] = 9;
    let checksum = header_checksum(&newer[..28]);
    newer[28..32].copy_from_slice(&checksum.to_le_bytes());
    std::fs::write(folder.path().join(&names[2]), newer).expect("written");
    let recovery = recover_folder(folder.path(), false);
    let text: Vec<String> = recovery
        .faults
        .iter()
        .map(|fault| format!("{}: {}", fault.file, fault.cause))
        .collect();
    assert!(
        text.iter().any(|what| what.contains("format 9")),
        "{text:?}"
    );
    assert!(
        text.iter().any(|what| what.contains("are missing")),
        "{text:?}"
    );
    let drained = |host: &&pondarch_daemon_core::RecoveredHost| host.state == HostState::Drain;
    assert_eq!(
        recovery
            .state
            .expect("a state")
            .hosts()
            .iter()
            .filter(drained)
            .count(),
        1
    );
    let FolderReplay { runs, .. } =
        replay(&Folder::read_only(folder.path()), ComparedInputs::default())
            .expect("it can be read");
    assert!(
        runs[0]
            .stopped
            .as_ref()
            .is_some_and(|reason| reason.to_string().contains("missing")),
        "{:?}",
        runs[0].stopped
    );
}

/// The checksum of a header, as the format states it.
fn header_checksum(bytes: &[u8]) -> u32 {
    // CRC-32 by its definition: reversed polynomial, all ones before and after.
    !bytes.iter().fold(!0u32, |crc, byte| {
        (0..8).fold(crc ^ u32::from(*byte), |crc, _| {
            (crc >> 1) ^ (0xedb8_8320 & (crc & 1).wrapping_neg())
        })
    })
}

#[test]
fn a_full_disk_leaves_a_recorded_gap_and_writing_resumes() {
    let folder = tempfile::tempdir().expect("a folder");
    let disk = FaultyDisk::new(Folder::lock(folder.path()).expect("a lock"));
    let mut run = RecordedRun::start(disk, 1 << 20, false, START, START);
    apply_steps(&mut run, &[Step::Wait(100)]);
    run.log.disk_mut().remaining_bytes = Some(700);
    let full_from = run.number + 1;
    for n in 0..6 {
        run.now += 100_000;
        run.command(&format!("set server hosts/host-{n} state drain"));
    }
    assert!(run.gap.is_some(), "it is full");
    assert!(
        run.states
            .last()
            .is_some_and(|state| state.hosts()[5].state == HostState::Drain),
        "deciding goes on"
    );
    run.log.disk_mut().remaining_bytes = None;
    run.now += 2_000_000;
    run.command("set server hosts/host-6 state drain");
    run.snapshot();
    let state = run.states.last().cloned().expect("a state");
    run.log.end();
    let recovery = recover_folder(folder.path(), false);
    assert_eq!(
        recovery.state.expect("a state").list,
        state.list,
        "the snapshot after the gap has it all"
    );
    let FolderReplay { runs, .. } =
        replay(&Folder::read_only(folder.path()), ComparedInputs::default())
            .expect("it can be read");
    let stopped = runs[0].stopped.clone().expect("it stops");
    assert!(
        runs[0].inputs < full_from + 6 && runs[0].difference.is_none(),
        "{stopped}"
    );
}
