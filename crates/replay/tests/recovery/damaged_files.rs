//! Recovery and replay with changed decisions, missing segments, segments of a newer format, and a full disk.

use crate::harness::{RecordedRun, START, Step, apply_steps, last_segment, recover_folder};
use pondarch_config::hosts::HostState;
use pondarch_daemon_core::Input;
use pondarch_event_log::{FaultyDisk, Folder, SegmentReader, frame, list_file_names, segment};
use pondarch_replay::Record;
use pondarch_replay::run_replay::{ComparedInputs, FolderReplay, replay};

#[test]
fn replay_reports_the_input_of_a_changed_decision() {
    let folder = tempfile::tempdir().expect("create a temporary folder");
    let mut run = RecordedRun::start(
        Folder::lock(folder.path()).expect("lock the folder"),
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
    let bytes = std::fs::read(&last).expect("read the segment");
    let mut changed = bytes[..segment::HEADER_BYTES].to_vec();
    for record in SegmentReader::open(&bytes).expect("a readable header") {
        let record = match Record::from_bytes(&record).expect("a known record") {
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
    std::fs::write(&last, changed).expect("write the file");
    let FolderReplay { runs, .. } =
        replay(&Folder::read_only(folder.path()), ComparedInputs::default())
            .expect("read the folder");
    let difference = runs[0].difference.clone().expect("a difference");
    assert_eq!(difference.number, 3);
    assert!(
        matches!(difference.input, Input::EndpointList { .. }) && difference.replayed.is_some()
    );
    let FolderReplay { runs, .. } = replay(
        &Folder::read_only(folder.path()),
        ComparedInputs { from: 4, to: 9 },
    )
    .expect("read the folder");
    assert_eq!(
        runs[0].difference, None,
        "input 3 is outside the compared range"
    );
}

#[test]
fn a_missing_segment_and_a_newer_format_are_reported_and_the_rest_is_read() {
    let folder = tempfile::tempdir().expect("create a temporary folder");
    let mut run = RecordedRun::start(
        Folder::lock(folder.path()).expect("lock the folder"),
        4_000,
        false,
        START,
        START,
    );
    apply_steps(&mut run, &[const { Step::RejectedList(300) }; 30]);
    run.run_command("set server hosts/host-5 state drain");
    run.log.end();
    let names = list_file_names(&Folder::read_only(folder.path()))
        .expect("list the files")
        .segments;
    assert!(names.len() > 3, "{names:?}");
    std::fs::remove_file(folder.path().join(&names[1])).expect("remove the segment");
    let mut newer = std::fs::read(folder.path().join(&names[2])).expect("read the segment");
    newer[8] = 9;
    let checksum = header_checksum(&newer[..28]);
    newer[28..32].copy_from_slice(&checksum.to_le_bytes());
    std::fs::write(folder.path().join(&names[2]), newer).expect("write the file");
    let recovery = recover_folder(folder.path(), false);
    let faults: Vec<String> = recovery
        .faults
        .iter()
        .map(|fault| format!("{}: {}", fault.file, fault.cause))
        .collect();
    assert!(
        faults.iter().any(|fault| fault.contains("format 9")),
        "{faults:?}"
    );
    assert!(
        faults.iter().any(|fault| fault.contains("are missing")),
        "{faults:?}"
    );
    let is_draining = |host: &&pondarch_daemon_core::RecoveredHost| host.state == HostState::Drain;
    assert_eq!(
        recovery
            .state
            .expect("a state")
            .hosts()
            .iter()
            .filter(is_draining)
            .count(),
        1
    );
    let FolderReplay { runs, .. } =
        replay(&Folder::read_only(folder.path()), ComparedInputs::default())
            .expect("read the folder");
    assert!(
        runs[0]
            .stopped
            .as_ref()
            .is_some_and(|reason| reason.to_string().contains("missing")),
        "{:?}",
        runs[0].stopped
    );
}

/// Computes the checksum of a segment header independently of the implementation.
fn header_checksum(bytes: &[u8]) -> u32 {
    // CRC-32 by its definition: reversed polynomial, initial value and final XOR of all ones.
    !bytes.iter().fold(!0u32, |crc, byte| {
        (0..8).fold(crc ^ u32::from(*byte), |crc, _| {
            (crc >> 1) ^ (0xedb8_8320 & (crc & 1).wrapping_neg())
        })
    })
}

#[test]
fn a_full_disk_leaves_a_recorded_gap_and_writing_resumes() {
    let folder = tempfile::tempdir().expect("create a temporary folder");
    let disk = FaultyDisk::new(Folder::lock(folder.path()).expect("lock the folder"));
    let mut run = RecordedRun::start(disk, 1 << 20, false, START, START);
    apply_steps(&mut run, &[Step::Wait(100)]);
    run.log.disk_mut().remaining_bytes = Some(700);
    let first_lost_input = run.number + 1;
    for n in 0..6 {
        run.now += 100_000;
        run.run_command(&format!("set server hosts/host-{n} state drain"));
    }
    assert!(run.gap.is_some(), "the disk is full");
    assert!(
        run.states
            .last()
            .is_some_and(|state| state.hosts()[5].state == HostState::Drain),
        "inputs are still handled while the disk is full"
    );
    run.log.disk_mut().remaining_bytes = None;
    run.now += 2_000_000;
    run.run_command("set server hosts/host-6 state drain");
    run.write_snapshot();
    let state = run.states.last().cloned().expect("a state");
    run.log.end();
    let recovery = recover_folder(folder.path(), false);
    assert_eq!(
        recovery.state.expect("a state").list,
        state.list,
        "the snapshot after the gap has the complete state"
    );
    let FolderReplay { runs, .. } =
        replay(&Folder::read_only(folder.path()), ComparedInputs::default())
            .expect("read the folder");
    let stopped = runs[0].stopped.clone().expect("replay stops at the gap");
    assert!(
        runs[0].inputs < first_lost_input + 6 && runs[0].difference.is_none(),
        "{stopped}"
    );
}
