//! Recovery and replay of recorded runs, with intact files and with files that are cut at any byte or have any bit
//! flipped. The recovered state is compared with the states of the core that recorded the run.

use crate::harness::{RecordedRun, START, apply_steps, last_segment, recover_folder, step};
use pondarch_daemon_core::Input;
use pondarch_event_log::{FileNames, Folder, list_file_names};
use pondarch_replay::run_replay::{ComparedInputs, FolderReplay, replay};
use pondarch_replay::what_if::{ExtractedScenario, extract_scenario, replay_scenario};
use proptest::prelude::*;

proptest! {
    #![proptest_config(ProptestConfig { cases: 48, failure_persistence: None, ..ProptestConfig::default() })]

    /// A controller that is killed within a write leaves a segment cut at any byte. The recovered state is the one
    /// after the last input in the file, and a next run that records it and is killed as well recovers it again.
    #[test]
    fn a_kill_at_any_byte_recovers_the_state_after_some_input(
        steps in prop::collection::vec(step(), 1..40), segment in 600u64..20_000, cut: prop::sample::Index, dns: bool,
    ) {
        let folder = tempfile::tempdir().expect("create a temporary folder");
        let mut run = RecordedRun::start(Folder::lock(folder.path()).expect("lock the folder"), segment, dns, START, START);
        apply_steps(&mut run, &steps);
        let states = std::mem::take(&mut run.states);
        run.log.end();
        let last = last_segment(folder.path());
        let bytes = std::fs::read(&last).expect("read the segment");
        std::fs::write(&last, &bytes[..cut.index(bytes.len() + 1)]).expect("write the file");
        let recovery = recover_folder(folder.path(), dns);
        prop_assert!(recovery.incarnation == START || recovery.state.is_none());
        let Some(mut recovered) = recovery.state else { return Ok(()) };
        // The last recorded input determines the time of the recovered state, even if it changes nothing else.
        let at = recovered.at_us;
        let expected = states.iter().rev().find(|state| state.at_us == at);
        prop_assert!(expected.is_some(), "no state at {at}");
        let expected = expected.cloned().expect("checked above");
        // A serial never goes back, but it advances when a view is rebuilt. The decision with the last serial may have
        // been cut off, which is why the next run begins 100 higher.
        prop_assert!(recovered.dns_serial + 100 >= expected.dns_serial);
        recovered.dns_serial = expected.dns_serial;
        prop_assert_eq!(&recovered, &expected);
        // The next run is killed after it has recorded the recovered state and nothing else.
        let mut next_run = RecordedRun::start(Folder::lock(folder.path()).expect("lock the folder"), segment, dns, START + 1, at + 1_000);
        next_run.handle_input(Input::Recovered(Box::new(expected.clone())));
        next_run.log.end();
        let recovered_again = recover_folder(folder.path(), dns).state.expect("a state");
        prop_assert_eq!((recovered_again.at_us, &recovered_again.list), (at + 1_000, &expected.list));
        prop_assert!(recovered_again.dns_serial >= expected.dns_serial);
    }

    /// With any bit of any file flipped, recovery and replay do not panic, and no host is recovered that was never
    /// listed.
    #[test]
    fn a_flipped_bit_recovers_no_host_that_was_never_listed(
        steps in prop::collection::vec(step(), 5..40), file: prop::sample::Index, byte: prop::sample::Index, bit in 0u8..8,
    ) {
        let folder = tempfile::tempdir().expect("create a temporary folder");
        let mut run = RecordedRun::start(Folder::lock(folder.path()).expect("lock the folder"), 2_000, false, START, START);
        apply_steps(&mut run, &steps);
        let states = std::mem::take(&mut run.states);
        run.log.end();
        let FileNames { segments, snapshots } = list_file_names(&Folder::read_only(folder.path())).expect("list the files");
        let names: Vec<String> = segments.into_iter().chain(snapshots).collect();
        let file = folder.path().join(&names[file.index(names.len())]);
        let mut bytes = std::fs::read(&file).expect("read the file");
        let at = byte.index(bytes.len());
        bytes[at] ^= 1 << bit;
        std::fs::write(&file, &bytes).expect("write the file");
        let recovery = recover_folder(folder.path(), false);
        if let Some(recovered) = &recovery.state {
            // Segments after the damaged record are read as well, and self-contained records in them, such as a whole
            // endpoint list, are applied.
            let listed: Vec<_> = states.iter().flat_map(|state| state.hosts().iter().map(|host| &host.entry.name)).collect();
            prop_assert!(recovered.hosts().iter().all(|host| listed.contains(&&host.entry.name)));
        }
        replay(&Folder::read_only(folder.path()), ComparedInputs::default()).ok();
    }

    /// A recorded run replays to the same decisions, and its scenario replays to the same result each time.
    #[test]
    fn a_recorded_run_replays_to_the_same_decisions(steps in prop::collection::vec(step(), 3..30), dns: bool) {
        let folder = tempfile::tempdir().expect("create a temporary folder");
        let mut run = RecordedRun::start(Folder::lock(folder.path()).expect("lock the folder"), 3_000, dns, START, START);
        apply_steps(&mut run, &steps);
        let inputs = run.number;
        run.log.end();
        let FolderReplay { runs, faults } = replay(&Folder::read_only(folder.path()), ComparedInputs::default()).expect("read the folder");
        prop_assert!(faults.is_empty(), "{:?}", faults);
        prop_assert_eq!((runs.len(), runs[0].inputs, &runs[0].difference, &runs[0].stopped), (1, inputs, &None, &None));
        let ExtractedScenario { scenario, .. } = extract_scenario(&Folder::read_only(folder.path()), None).expect("extract the scenario");
        let result = replay_scenario(&scenario, None, 3).expect("replay the scenario");
        prop_assert_eq!(&result, &replay_scenario(&scenario, None, 3).expect("replay the scenario"));
        prop_assert!(result.max_messages <= 12);
    }
}
